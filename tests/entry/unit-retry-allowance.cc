#include "coppervalve/entry/retry_allowance.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr RetryBounds kBounds{0.2, 52, core::Duration(10'000'000)};
const core::ServiceId kService("engines");

}  // namespace

// clang-format off
TEST_GROUP(RetryAllowance){};
// clang-format on

TEST(RetryAllowance,
     all_routers_together_keep_the_bound_without_communication) {
  // Guards against retries that overload recovering upstreams. All upstreams of
  // a service fail; each of seven routers retries as often as it may, without
  // communication.
  constexpr uint32_t kRouters = 7;
  int requests = 0;
  int repeats = 0;
  for (uint32_t router = 0; router < kRouters; ++router) {
    RetryAllowance allowance(kBounds);
    for (int i = 0; i < 150; ++i) {
      const core::TimePoint now = At(i * 0.06);
      allowance.OnRequest(kService, now);
      ++requests;
      while (allowance.Take(kService, kRouters, now)) {
        ++repeats;
      }
    }
  }
  CHECK(repeats <= kBounds.ratio * requests + kBounds.slack);
  CHECK(repeats >= (kBounds.ratio * requests + kBounds.slack) / 2);
}

TEST(RetryAllowance, retries_are_allowed_again_after_the_window) {
  RetryAllowance allowance(kBounds);
  while (allowance.Take(kService, 4, At(0))) {
  }
  CHECK_FALSE(allowance.Take(kService, 4, At(9.9)));
  CHECK(allowance.Take(kService, 4, At(10.1)));
}

TEST(RetryAllowance, services_have_separate_shares) {
  RetryAllowance allowance(kBounds);
  while (allowance.Take(kService, 4, At(0))) {
  }
  CHECK(allowance.Take(core::ServiceId("tickets"), 4, At(0)));
}
