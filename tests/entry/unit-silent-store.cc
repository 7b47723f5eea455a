#include <CppUTest/TestHarness.h>

#include <algorithm>   // max
#include <functional>  // function

#include "reader_fleet.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr double kStart = 6.0;
constexpr double kSecondsAfter = 14.0;

/// What operators state for a fleet.
struct Bounds {
  double contact_seconds = 0;  ///< after the store's return
  double apply_seconds = 0;    ///< after a version's acknowledgement
};

constexpr Bounds kSmall{3, 2};
constexpr Bounds kGrown{4, 3};
constexpr Bounds kFleet{6, 5};

// Makes trouble at the store between these times.
using Trouble = std::function<void(ReaderFleet&, double from, double to)>;

void Silence(ReaderFleet& fleet, double from, double to) {
  fleet.Silence(from, to);
}

Trouble SlowBy(double seconds) {
  return [seconds](ReaderFleet& fleet, double from, double to) {
    fleet.Slow(from, to, seconds);
  };
}

// Versions are written before the trouble and after its end, in such a way that
// both bounds end at the same moment.
double LatenessAfter(double seconds,
                     const Trouble& trouble,
                     const ReaderFleetOptions& options,
                     const Reading& reading,
                     const Bounds& bounds) {
  const double end = kStart + seconds;
  ReaderFleet fleet(options, reading);
  trouble(fleet, kStart, end);
  fleet.WriteVersions({3, kStart - 0.01, end + 0.01,
                       end + bounds.contact_seconds - bounds.apply_seconds});
  fleet.Run(end + kSecondsAfter);
  return fleet.AllInForceAt() - end;
}

// The longest over troubles of 1 to 20 s.
double LongestLateness(double step,
                       const Trouble& trouble,
                       const ReaderFleetOptions& options,
                       const Reading& reading,
                       const Bounds& bounds) {
  double longest = 0;
  for (double seconds = 1; seconds <= 20; seconds += step) {
    longest = std::max(
        longest, LatenessAfter(seconds, trouble, options, reading, bounds));
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
      LongestLateness(0.1, Silence, {9, 20e3}, ProductReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, the_table_of_upstreams_is_known_in_time_after_any_silence) {
  const double latest =
      LongestLateness(0.1, Silence, {9, 20e3}, TableReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, heartbeats_are_read_in_time_after_any_silence) {
  const double latest =
      LongestLateness(0.1, Silence, {9, 5e3}, HeartbeatReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, a_large_fleet_reads_a_configuration_in_time) {
  const double latest =
      LongestLateness(0.5, Silence, {985, 100e3}, ProductReading(), kFleet);
  CHECK(latest <= kFleet.contact_seconds);
}

TEST(SilentStore, a_configuration_is_in_force_in_time_after_a_slow_store) {
  for (const double delay : {0.5, 1.0, 2.0, 4.0}) {
    const double latest = LongestLateness(0.1, SlowBy(delay), {9, 20e3},
                                          ProductReading(), kSmall);
    CHECK(latest <= kSmall.contact_seconds);
  }
}

TEST(SilentStore, a_configuration_is_in_force_in_time_after_refusals) {
  const Trouble refuse = [](ReaderFleet& fleet, double from, double to) {
    fleet.Refuse(9, from, to);
  };
  const double latest =
      LongestLateness(0.1, refuse, {9, 20e3}, ProductReading(), kSmall);
  CHECK(latest <= kSmall.contact_seconds);
}

TEST(SilentStore, hundreds_of_routers_read_a_configuration_in_time) {
  const double latest =
      LongestLateness(0.1, Silence, {300, 50e3}, ProductReading(), kGrown);
  CHECK(latest <= kGrown.contact_seconds);
}

// The answers come in time for a reader that waits for them.
TEST(SilentStore, a_large_fleet_reads_in_time_after_a_slow_store_that_answers) {
  for (const double delay : {0.2, 0.5, 0.7}) {
    const double latest = LongestLateness(1, SlowBy(delay), {985, 100e3},
                                          ProductReading(), kFleet);
    CHECK(latest <= kFleet.contact_seconds);
  }
}
