#include "coppervalve/entry/retry_budget_share.h"

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
TEST_GROUP(RetryBudgetShare){};
// clang-format on

TEST(RetryBudgetShare,
     all_routers_together_keep_the_bound_without_communication) {
  // Guards against retries that overload recovering upstreams. All upstreams of
  // a service fail; each of seven routers retries as often as it may, without
  // communication.
  constexpr uint32_t kRouters = 7;
  int requests = 0;
  int retries = 0;
  for (uint32_t router = 0; router < kRouters; ++router) {
    RetryBudgetShare share(kBounds);
    for (int i = 0; i < 150; ++i) {
      const core::TimePoint now = At(i * 0.06);
      share.OnRequest(kService, now);
      ++requests;
      while (share.Take(kService, kRouters, now)) {
        ++retries;
      }
    }
  }
  CHECK(retries <= kBounds.ratio * requests + kBounds.slack);
  CHECK(retries >= (kBounds.ratio * requests + kBounds.slack) / 2);
}

TEST(RetryBudgetShare, retries_are_allowed_again_after_the_window) {
  RetryBudgetShare share(kBounds);
  while (share.Take(kService, 4, At(0))) {
  }
  CHECK_FALSE(share.Take(kService, 4, At(9.9)));
  CHECK(share.Take(kService, 4, At(10.1)));
}

TEST(RetryBudgetShare, services_have_separate_shares) {
  RetryBudgetShare share(kBounds);
  while (share.Take(kService, 4, At(0))) {
  }
  CHECK(share.Take(core::ServiceId("tickets"), 4, At(0)));
}
