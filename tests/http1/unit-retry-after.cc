#include "coppervalve/http1/retry_after.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace coppervalve;
using namespace coppervalve::http1;

namespace {

int64_t ParsedMillis(const std::vector<std::string>& values) {
  HeaderList headers;
  for (const std::string& value : values) {
    headers.Add("retry-after", value);
  }
  const auto wait = ParseRetryAfter(headers);
  return wait ? wait->count() / 1'000 : -1;
}

}  // namespace

// clang-format off
TEST_GROUP(RetryAfter) {
};
// clang-format on

TEST(RetryAfter, seconds_and_fractions_are_read) {
  CHECK_EQUAL(2'000, ParsedMillis({"2"}));
  CHECK_EQUAL(350, ParsedMillis({"0.35"}));
}

TEST(RetryAfter, the_longest_of_repeated_values_counts) {
  CHECK_EQUAL(3'000, ParsedMillis({"1", "3"}));
  CHECK_EQUAL(1'000, ParsedMillis({"1", "soon"}));
}

TEST(RetryAfter, values_other_than_positive_numbers_are_ignored) {
  const std::vector<std::string> bad = {
      "0",    "-1", "",    "soon", "nan",
      "inf",  "1s", "0x5", "1 2",  "Thu, 03 Dec 2026 06:41:57 GMT",
      "1e999"};
  for (const std::string& value : bad) {
    CHECK_EQUAL(-1, ParsedMillis({value}));
  }
  CHECK_EQUAL(-1, ParsedMillis({}));
}

TEST(RetryAfter, a_huge_value_is_limited) {
  CHECK_EQUAL(300'000, ParsedMillis({"86400"}));
  CHECK_EQUAL(300'000, ParsedMillis({"1e300"}));
}
