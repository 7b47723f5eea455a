#include "coppervalve/entry/policy.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve;
using namespace coppervalve::entry;

// clang-format off
TEST_GROUP(Policy){};
// clang-format on

TEST(Policy, without_changes_it_has_the_defaults) {
  const Policy policy = core::Value(ParsePolicy(""));
  CHECK(policy.gifts);
  CHECK_EQUAL(AllocationOptions{}.most_held, policy.book.most_held);
}

TEST(Policy, members_are_changed_by_name) {
  const Policy policy =
      core::Value(ParsePolicy("gifts=0,book.ahead=4500,placement.running=7.5"));
  CHECK_FALSE(policy.gifts);
  CHECK(policy.book.ahead == std::chrono::milliseconds(4'500));
  CHECK_EQUAL(7.5, policy.placement.running_cost);
  CHECK_EQUAL(3, policy.least_active);
}

TEST(Policy, every_name_is_accepted) {
  for (const std::string_view name : PolicyNames()) {
    CHECK(core::IsOk(ParsePolicy(std::string(name) + "=1")));
  }
}

TEST(Policy, the_invalid_part_is_reported) {
  for (const char* changes : {"gift=0", "gifts", "gifts=", "gifts=no",
                              "gifts=1x", "=1", "gifts=0,,book.ahead=1"}) {
    CHECK_FALSE(core::IsOk(ParsePolicy(changes)));
  }
  STRCMP_EQUAL(
      "gift=0",
      core::Failure(ParsePolicy("book.ahead=1,gift=0")).detail.c_str());
}
