#include <CppUTest/TestHarness.h>

#include "reader_fleet.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr size_t kRouters = 195;
constexpr double kVersionBytes = 200e3;
constexpr double kPartitionStart = 6.2;
constexpr double kPartitionEnd = 13.8;
// Versions written during the partition; the last one is the newest when it
// ends.
constexpr int kVersions = 18;

// Reads every version in order, up to one megabyte per call, and must receive
// the whole answer within the first-byte timeout.
Reading VersionByVersion() {
  Reading reading = ProductReading();
  reading.plan.max_bytes = 1024 * 1024;
  reading.plan.newest_only = false;
  reading.timeouts.total = core::Duration(1'800'000);
  reading.spreads = false;
  reading.keys = 1'000;
  return reading;
}

ReaderFleet PartitionedFleet(const Reading& reading) {
  ReaderFleet fleet({kRouters, kVersionBytes}, reading);
  fleet.Partition(kRouters, kPartitionStart, kPartitionEnd);
  constexpr double kGap = (kPartitionEnd - kPartitionStart) / (kVersions + 1);
  std::vector<double> times;
  for (int i = 1; i <= kVersions; ++i) {
    times.push_back(kPartitionStart + kGap * i);
  }
  fleet.WriteVersions(times);
  fleet.Run(40);
  return fleet;
}

}  // namespace

// clang-format off
TEST_GROUP(ReadAfterPartition) {};
// clang-format on

// Guards against refusing callers on routes that have been in force for
// seconds. All routers of a large fleet are partitioned from the store while 18
// large versions are written, and reconnect together. The missed versions
// exceed what the store can send, and on most links what fits the timeout of a
// call.
TEST(ReadAfterPartition,
     the_newest_configuration_is_in_force_within_two_seconds) {
  DOUBLES_EQUAL(kPartitionEnd,
                PartitionedFleet(ProductReading()).AllInForceAt(), 2);
}

// Shows that the test above detects the failure: the same load, read version by
// version.
TEST(ReadAfterPartition,
     reading_every_version_takes_longer_than_the_partition) {
  CHECK(PartitionedFleet(VersionByVersion()).AllInForceAt() >
        kPartitionEnd + (kPartitionEnd - kPartitionStart));
}
