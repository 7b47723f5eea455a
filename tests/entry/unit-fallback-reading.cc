#include "coppervalve/entry/fallback_reading.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // max, min
#include <cstddef>    // size_t
#include <vector>     // vector

#include "coppervalve/entry/read_plan.h"
#include "coppervalve/entry/topic_subscription.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr size_t kRouters = 985;
constexpr size_t kAccounts = 333;
constexpr double kStoreBytesPerSecond = 80e6;
constexpr double kTextPerByte = 4.0 / 3;  // pages of newest records are text

size_t ListBytes() {
  HeartbeatLimits limits;
  limits.store_writes_per_second = 4'000;
  limits.live = kRouters;
  limits.active = 6;
  return HeartbeatListBytes(limits, kAccounts);
}

/// @brief Standbys of a large fleet, spread evenly over the interval.
class Standbys {
 public:
  Standbys() {
    const core::Duration interval =
        ReadInterval({kRouters, kStoreBytesPerSecond}, ListBytes());
    for (size_t i = 0; i < kRouters; ++i) {
      m_standbys.emplace_back([i, interval] {
        return interval * static_cast<int64_t>(i) / kRouters;
      });
    }
  }
  /// @return how many read at that time
  size_t Advance(bool view_lost, bool store_answers, double at) {
    size_t reading = 0;
    for (FallbackReading& standby : m_standbys) {
      reading += standby.Advance(view_lost, store_answers, At(at)) ? 1 : 0;
    }
    return reading;
  }

 private:
  std::vector<FallbackReading> m_standbys;
};

}  // namespace

// clang-format off
TEST_GROUP(FallbackReading) {
  Standbys standbys;
};
// clang-format on

TEST(FallbackReading, nobody_reads_while_the_store_does_not_answer) {
  // Failure: the store is away for longer than a view lasts. When it returns,
  // each router reads the heartbeats of all, and the store stays overloaded.
  for (double at = 0; at < 10; at += 0.2) {
    CHECK_EQUAL(0, standbys.Advance(true, false, at));
  }
  // The active routers answer again within a second.
  size_t most = 0;
  for (double at = 10; at < 11; at += 0.2) {
    most = std::max(most, standbys.Advance(true, true, at));
  }
  CHECK(most > 0);
  CHECK(most < kRouters / 4);
  CHECK_EQUAL(0, standbys.Advance(false, true, 11));
}

TEST(FallbackReading, the_store_can_send_to_those_that_begin_to_read) {
  // Failure: the active routers lose power. All standbys list the heartbeats at
  // the same moment, and each listing times out.
  constexpr double kStep = 0.2;
  size_t reading = 0;
  double at = 0;
  while (reading < kRouters && at < 60) {
    const size_t now = standbys.Advance(true, true, at);
    const auto begun = static_cast<double>(now - reading);
    CHECK(begun * static_cast<double>(ListBytes()) * kTextPerByte <=
          kStoreBytesPerSecond * kStep);
    reading = now;
    at += kStep;
  }
  CHECK_EQUAL(kRouters, reading);
}

TEST(FallbackReading, a_small_fleet_reads_at_once) {
  const core::Duration interval =
      ReadInterval({64, kStoreBytesPerSecond}, 64 * 160);
  CHECK(core::Duration::zero() == interval);
  FallbackReading standby([interval] { return interval; });
  CHECK(standby.Advance(true, true, At(1)));
}
