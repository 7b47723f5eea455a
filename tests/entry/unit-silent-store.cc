#include <CppUTest/TestHarness.h>

#include <algorithm>  // max

#include "reader_fleet.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr double kSilenceStart = 6.0;
constexpr double kSecondsAfter = 14.0;

/// What operators state for a fleet.
struct Bounds {
  double contact_seconds = 0;  ///< after the store's return
  double apply_seconds = 0;    ///< after a version's acknowledgement
};

constexpr Bounds kSmall{3, 2};
constexpr Bounds kFleet{6, 5};

// Versions are written before the silence and after its end, in such a way that
// both bounds end at the same moment.
double LatenessAfter(double seconds,
                     const ReaderFleetOptions& options,
                     const Reading& reading,
                     const Bounds& bounds) {
  const double end = kSilenceStart + seconds;
  ReaderFleet fleet(options, reading);
  fleet.Silence(kSilenceStart, end);
  fleet.WriteVersions({3, kSilenceStart - 0.01, end + 0.01,
                       end + bounds.contact_seconds - bounds.apply_seconds});
  fleet.Run(end + kSecondsAfter);
  return fleet.AllInForceAt() - end;
}

// The longest over silences of 1 to 20 s.
double LongestLateness(double step,
                       const ReaderFleetOptions& options,
                       const Reading& reading,
                       const Bounds& bounds) {
  double longest = 0;
  for (double seconds = 1; seconds <= 20; seconds += step) {
    longest =
        std::max(longest, LatenessAfter(seconds, options, reading, bounds));
  }
  return longest;
}

Reading TableReading() {
  Reading reading = ProductReading();
  reading.plan = UpstreamPlan();
  reading.keys = 15;
  return reading;
}

Reading HeartbeatReading() {
  Reading reading = ProductReading();
  reading.plan = HeartbeatPlan();
  reading.keys = 9;
  return reading;
}

}  // namespace

// Guards against waiting for the answer to a call that the store never
// received, seconds after it answers others again.
// clang-format off
TEST_GROUP(SilentStore) {};
// clang-format on

TEST(SilentStore, a_configuration_is_in_force_in_time_after_any_silence) {
  const double latest =
      LongestLateness(0.1, {9, 20e3}, ProductReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, the_table_of_upstreams_is_known_in_time_after_any_silence) {
  const double latest = LongestLateness(0.1, {9, 20e3}, TableReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, heartbeats_are_read_in_time_after_any_silence) {
  const double latest =
      LongestLateness(0.1, {9, 5e3}, HeartbeatReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, a_large_fleet_reads_a_configuration_in_time) {
  const double latest =
      LongestLateness(0.5, {985, 100e3}, ProductReading(), kFleet);
  CHECK(latest <= kFleet.contact_seconds);
}
