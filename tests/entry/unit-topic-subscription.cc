#include "coppervalve/entry/topic_subscription.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // max, min
#include <vector>     // vector

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

TopicCost CostOf(size_t upstreams, size_t routers) {
  TopicCost cost;
  cost.bytes_per_second =
      UpstreamTableBytes(upstreams, core::Duration(1'200'000));
  cost.routers = routers;
  cost.store_bytes_per_second = 80e6;
  return cost;
}

// Simulates followers of a table that share a store, each behind a link of its
// own. Returns how many seconds the slowest one is behind after so many seconds
// of steady load.
double DelayAfter(double seconds, const TopicCost& cost, size_t followers) {
  constexpr double kStep = 0.1;
  constexpr double kLinkBytesPerSecond = 1.25e6;
  const double written = cost.bytes_per_second;
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
TEST_GROUP(TopicSubscription) {
  TopicSubscription subscription;
};
// clang-format on

TEST(TopicSubscription, all_follow_a_table_that_is_cheap) {
  CHECK(StoreCanServeAll(CostOf(64, 86), {}));
  CHECK(StoreCanServeAll(CostOf(129, 195), {}));
  CHECK(subscription.Advance(CostOf(64, 86), false, At(1)));
}

TEST(TopicSubscription, all_follow_if_the_bandwidth_of_the_store_is_unknown) {
  TopicCost cost = CostOf(3'000, 300);
  cost.store_bytes_per_second = 0;
  CHECK(StoreCanServeAll(cost, {}));
  cost = CostOf(3'000, 300);
  cost.bytes_per_second = UpstreamTableBytes(3'000, {});
  CHECK(StoreCanServeAll(cost, {}));
}

TEST(TopicSubscription, in_a_large_fleet_active_routers_follow) {
  const TopicCost cost = CostOf(3'000, 300);
  CHECK_FALSE(subscription.Advance(cost, false, At(1)));
  CHECK(subscription.Advance(cost, true, At(2)));
  // Callers that cached this router's address still connect.
  CHECK(subscription.Advance(cost, false, At(9)));
  CHECK_FALSE(subscription.Advance(cost, false, At(11)));
}

TEST(TopicSubscription, a_large_table_followed_by_all_is_seconds_late) {
  // Requests would go to upstreams that left, as all routers learn of it too
  // late.
  const TopicCost cost = CostOf(3'000, 300);
  CHECK(DelayAfter(20, cost, cost.routers) > 3);
  DOUBLES_EQUAL(0, DelayAfter(20, cost, 40), 0.1);
}

TEST(TopicSubscription, heartbeats_are_followed_by_all_in_a_small_fleet_only) {
  // Each of a thousand routers reading the claims of the others would need more
  // than the store can send, and none would be ready.
  constexpr double kStoreBytes = 80e6;
  const auto share = [](uint32_t routers, uint32_t active, size_t accounts) {
    return routers * HeartbeatBytes({500, routers, active, false}, accounts) /
           kStoreBytes;
  };
  CHECK(share(9, 3, 10) < 0.01);
  CHECK(share(195, 8, 40) < 0.1);
  CHECK(share(1'000, 8, 333) > 1);
  // The readers of a thousand are the active ones and as many standbys.
  CHECK(share(1'000, 8, 333) * 16 / 1'000 < 0.1);
  CHECK(share(2'000, 16, 666) * 32 / 2'000 < 0.5);
}
