#include "coppervalve/entry/heartbeat_rate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // min

using namespace coppervalve;
using namespace coppervalve::entry;

namespace {

double Seconds(core::Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

// clang-format off
TEST_GROUP(HeartbeatRate) {};
// clang-format on

TEST(HeartbeatRate, heartbeats_of_the_whole_fleet_leave_the_store_idle_time) {
  // More heartbeats than the store can process would queue up behind each
  // other, until routers give up waiting and write them again.
  for (const uint32_t live : {7U, 840U, 1'000U, 2'000U}) {
    for (const uint32_t active : {3U, 50U, live}) {
      const double active_writes =
          active / Seconds(HeartbeatPeriod({500, live, active, true}));
      const double standby_writes =
          (live - std::min(live, active)) /
          Seconds(HeartbeatPeriod({500, live, active, false}));
      CHECK(active_writes + standby_writes <= 500 * 0.8 + 1);
    }
  }
}

TEST(HeartbeatRate, the_period_of_active_routers_does_not_grow_with_standbys) {
  // A fleet of a thousand routers before few callers has few active ones, whose
  // claims would otherwise lag behind the demand for seconds.
  CHECK(HeartbeatPeriod({500, 1'000, 10, true}) == kDefaultHeartbeatPeriod);
  CHECK(HeartbeatPeriod({600, 840, 840, true}) > 3 * kDefaultHeartbeatPeriod);
  CHECK(HeartbeatPeriod({600, 6, 3, false}) > 3 * kDefaultHeartbeatPeriod);
}

TEST(HeartbeatRate,
     expedited_heartbeats_stay_within_the_write_rate_of_the_store) {
  // After a power failure of all VMs every router has little headroom, and each
  // request needs a claim. If all claims were written at once, the store would
  // reject most of them, and callers would wait for claims that never succeed.
  for (const uint32_t active : {3U, 30U, 300U}) {
    const HeartbeatLimits limits{600, active, active, true};
    const double writes = active / Seconds(ExpeditedDelay(limits));
    CHECK(writes <= 600 * 0.4 + 1);
  }
  CHECK(ExpeditedDelay({600, 6, 3, true}) < core::Duration(50'000));
}

TEST(HeartbeatRate, claims_of_many_accounts_are_not_written_faster_than_read) {
  // Failure: seven active routers write the claims of 333 accounts twenty times
  // a second. Readers fall behind, and requests are refused while they wait for
  // claims that are in the log.
  for (const uint32_t active : {3U, 7U, 20U}) {
    for (const size_t accounts : {10U, 333U, 1'000U}) {
      HeartbeatLimits limits{500, 1'000, active, true};
      limits.record_bytes = 150 + 45 * accounts;
      const double bytes = active * static_cast<double>(limits.record_bytes);
      CHECK(bytes / Seconds(ExpeditedDelay(limits)) <= 1.01e6);
    }
  }
  HeartbeatLimits small{500, 9, 3, true};
  small.record_bytes = 600;
  CHECK(ExpeditedDelay(small) <= core::Duration(30'000));
}
