#include "coppervalve/entry/table_subscription.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // max, min
#include <vector>     // vector

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

TableCost CostOf(size_t upstreams, size_t routers) {
  TableCost cost;
  cost.upstreams = upstreams;
  cost.routers = routers;
  cost.heartbeat = core::Duration(1'200'000);
  cost.store_bytes_per_second = 80e6;
  return cost;
}

// Simulates followers of a table that share a store, each behind a link of its
// own. Returns how many seconds the slowest one is behind after so many seconds
// of steady load.
double DelayAfter(double seconds, const TableCost& cost, size_t followers) {
  constexpr double kStep = 0.1;
  constexpr double kLinkBytesPerSecond = 1.25e6;
  const double written = static_cast<double>(cost.upstreams) *
                         TableSubscriptionOptions().record_bytes / 1.2;
  std::vector<double> behind(followers, 0);
  for (double t = 0; t < seconds; t += kStep) {
    const double share = cost.store_bytes_per_second /
                         static_cast<double>(std::max<size_t>(followers, 1));
    const double rate = std::min(share, kLinkBytesPerSecond);
    for (double& bytes : behind) {
      bytes = std::max(bytes + (written - rate) * kStep, 0.0);
    }
  }
  const double most =
      followers == 0 ? 0 : *std::max_element(behind.begin(), behind.end());
  return most / written;
}

}  // namespace

// clang-format off
TEST_GROUP(TableSubscription) {
  TableSubscription subscription;
};
// clang-format on

TEST(TableSubscription, all_follow_a_table_that_is_cheap) {
  CHECK(StoreCanServeAll(CostOf(64, 86), {}));
  CHECK(StoreCanServeAll(CostOf(129, 195), {}));
  CHECK(subscription.Advance(CostOf(64, 86), false, At(1)));
}

TEST(TableSubscription, all_follow_if_the_bandwidth_of_the_store_is_unknown) {
  TableCost cost = CostOf(3'000, 300);
  cost.store_bytes_per_second = 0;
  CHECK(StoreCanServeAll(cost, {}));
  cost = CostOf(3'000, 300);
  cost.heartbeat = {};
  CHECK(StoreCanServeAll(cost, {}));
}

TEST(TableSubscription, in_a_large_fleet_active_routers_follow) {
  const TableCost cost = CostOf(3'000, 300);
  CHECK_FALSE(subscription.Advance(cost, false, At(1)));
  CHECK(subscription.Advance(cost, true, At(2)));
  // Callers that cached this router's address still connect.
  CHECK(subscription.Advance(cost, false, At(9)));
  CHECK_FALSE(subscription.Advance(cost, false, At(11)));
}

TEST(TableSubscription, a_large_table_followed_by_all_is_seconds_late) {
  // Requests would go to upstreams that left, as all routers learn of it too
  // late.
  const TableCost cost = CostOf(3'000, 300);
  CHECK(DelayAfter(20, cost, cost.routers) > 3);
  DOUBLES_EQUAL(0, DelayAfter(20, cost, 40), 0.1);
}
