#include "coppervalve/entry/heartbeat_rate.h"

#include <CppUTest/TestHarness.h>

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

TEST(HeartbeatRate, the_period_grows_with_the_fleet) {
  CHECK(HeartbeatPeriod({600, 6, 3, true}) == kDefaultHeartbeatPeriod);
  CHECK(HeartbeatPeriod({600, 840, 100, true}) > 3 * kDefaultHeartbeatPeriod);
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
