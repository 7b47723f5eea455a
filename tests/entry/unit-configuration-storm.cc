#include <CppUTest/TestHarness.h>

#include <vector>  // vector

#include "reader_fleet.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr double kPlatformBound = 5;  // seconds until a version is in force
constexpr double kTargetBound = 8;    // the same at the size to design for
constexpr size_t kRouters = 985;
constexpr double kVersionBytes = 100e3;
constexpr double kEnd = 40;

// The store sends one version to all routers in 1.2 s, and a version is written
// each 0.4 s.
std::vector<double> Storm(double from, size_t versions) {
  std::vector<double> times;
  for (size_t i = 0; i < versions; ++i) {
    times.push_back(from + 0.4 * static_cast<double>(i));
  }
  return times;
}

}  // namespace

// clang-format off
TEST_GROUP(ConfigurationStorm) {
  ReaderFleetOptions options{kRouters, kVersionBytes};
};
// clang-format on

TEST(ConfigurationStorm, versions_in_quick_succession_are_in_force_in_time) {
  // Failure: reads that time out are repeated until the store sends nothing
  // that anybody still waits for.
  ReaderFleet fleet(options, ProductReading());
  fleet.WriteVersions(Storm(2, 18));
  fleet.Run(kEnd);
  CHECK(fleet.LongestDelay() <= kPlatformBound);
}

TEST(ConfigurationStorm, routers_that_the_store_rejected_return_together) {
  // Failure: a third of the fleet reads what it missed all at once, and nobody
  // gets a configuration in time.
  ReaderFleet fleet(options, ProductReading());
  fleet.Refuse(kRouters / 3, 4, 13);
  fleet.WriteVersions(Storm(2, 18));
  fleet.Run(kEnd);
  CHECK(fleet.LongestDelay() <= kPlatformBound);
}

TEST(ConfigurationStorm, a_fleet_that_was_partitioned_as_a_whole_returns) {
  // Failure: each router lists the configuration when the partition ends, gives
  // up before its turn, and lists it again.
  ReaderFleet fleet(options, ProductReading());
  fleet.Partition(kRouters, 4, 13);
  fleet.WriteVersions(Storm(2, 18));
  fleet.Run(kEnd);
  CHECK(fleet.LongestDelay() <= kPlatformBound);
}

TEST(ConfigurationStorm, the_largest_configuration_reaches_the_target_size) {
  // Failure: a configuration as large as a record may be is read by 840 routers
  // at the same moment.
  ReaderFleet fleet({840, 250e3}, ProductReading());
  fleet.WriteVersions(Storm(2, 8));
  fleet.Run(kEnd);
  CHECK(fleet.LongestDelay() <= kTargetBound);
}

TEST(ConfigurationStorm, a_storm_costs_the_store_few_reads_of_each_router) {
  // Failure: the store sends what a newer version already replaces.
  constexpr double kStormSeconds = 18 * 0.4;
  ReaderFleet fleet(options, ProductReading());
  fleet.WriteVersions(Storm(2, 18));
  fleet.Run(kEnd);
  // One read for each bound, and one that was too late, in text.
  CHECK(fleet.VersionsSentPerRouter() <= kStormSeconds / kPlatformBound * 4);
}
