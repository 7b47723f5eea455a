#include <CppUTest/TestHarness.h>

#include <algorithm>   // max, min
#include <cmath>       // fmod
#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <queue>       // priority_queue
#include <vector>      // vector

#include "coppervalve/entry/call_timeouts.h"
#include "coppervalve/entry/read_plan.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr size_t kRouters = 195;
constexpr double kStoreBytesPerSecond = 80e6;  // shared by all readers
constexpr double kLinkBytesPerSecond = 2.5e6;  // of one small VM
constexpr double kCallSeconds = 0.01;
constexpr double kTextPerByte = 4.0 / 3;  // pages of newest records are text
constexpr double kPartitionStart = 6.2;
constexpr double kPartitionEnd = 13.8;
// Versions written during the partition; the last one is the newest when it
// ends.
constexpr uint64_t kVersions = 18;
constexpr double kVersionBytes = 200e3;

/// @brief How a router reads: its requests and timeouts.
struct Reading {
  ReadPlanOptions plan;
  CallTimeouts timeouts;
  size_t keys = 1;
};

Reading ProductReading() {
  Reading reading;
  reading.plan = ConfigurationPlan();
  reading.timeouts.first_byte = core::Duration(1'800'000);
  reading.timeouts.total = core::Duration(6'000'000);
  return reading;
}

// Reads every version in order, up to one megabyte per call, and must receive
// the whole answer within the first-byte timeout.
Reading VersionByVersion() {
  Reading reading;
  reading.plan.max_bytes = 1024 * 1024;
  reading.plan.newest_only = false;
  reading.timeouts.first_byte = core::Duration(1'800'000);
  reading.timeouts.total = reading.timeouts.first_byte;
  reading.keys = 1'000;
  return reading;
}

/// @brief Simulates in virtual time routers that follow the configuration. They
/// share the rate of the store, and each has its own link.
class Fleet {
 public:
  explicit Fleet(const Reading& reading)
      : m_reading(reading), m_readers(kRouters, Reader(reading)) {
    for (size_t i = 0; i < kRouters; ++i) {
      m_readers[i].plan.OnNewest(reading.keys, 0, At(kPartitionStart - 0.1));
      // The call in progress when the partition began times out during it.
      Schedule(kPartitionStart + 1 + NextFraction(),
               [this, i] { Fail(i, kPartitionStart - 0.8); });
    }
  }

  /// @return when the last router has the newest version in force
  double AllInForceAt(double until) {
    double last = 0;
    while (!m_events.empty() && m_events.top().at < until) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    for (const Reader& reader : m_readers) {
      last = std::max(last, reader.in_force_at.value_or(until));
    }
    return last;
  }

 private:
  struct Reader {
    explicit Reader(const Reading& reading) : plan(reading.plan) {}
    ReadPlan plan;
    std::optional<double> in_force_at;
  };
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Schedule(double at, std::function<void()> run) {
    m_events.push({at, ++m_order, std::move(run)});
  }
  // Evenly distributed and deterministic.
  double NextFraction() {
    constexpr double kGoldenRatio = 0.618033988749895;
    m_fraction = std::fmod(m_fraction + kGoldenRatio, 1.0);
    return m_fraction;
  }

  void ScheduleStep(size_t i, const ReadStep& step) {
    const double at = m_now + std::chrono::duration<double>(step.delay).count();
    const bool newest = step.call != ReadStep::Call::kRecords;
    Schedule(at, [this, i, newest] { Call(i, newest); });
  }

  void FailAfter(size_t i, core::TimePoint give_up) {
    const double began = m_now;
    const double at =
        std::chrono::duration<double>(give_up.time_since_epoch()).count();
    Schedule(at, [this, i, began] { Fail(i, began); });
  }

  void Fail(size_t i, double began) {
    ScheduleStep(
        i, m_readers[i].plan.OnFailure(NextFraction(), At(began), At(m_now)));
  }

  void Call(size_t i, bool newest) {
    const CallTimeouts& timeouts = m_reading.timeouts;
    if (m_now < kPartitionEnd) {
      FailAfter(i, timeouts.TimesOutAt({At(m_now), false, std::nullopt}));
      return;
    }
    const uint64_t next = m_readers[i].plan.next();
    const uint64_t fit = static_cast<uint64_t>(
        static_cast<double>(m_reading.plan.max_bytes) / kVersionBytes);
    const uint64_t records =
        newest ? 1 : std::min(kVersions - next, std::max<uint64_t>(fit, 1));
    if (records == 0) {
      return;  // waits for the next version
    }
    const double bytes = static_cast<double>(records) * kVersionBytes *
                         (newest ? kTextPerByte : 1);
    // The store also sends answers to calls that have timed out.
    m_store_free = std::max(m_store_free, m_now + kCallSeconds) +
                   bytes / kStoreBytesPerSecond;
    const double begins = m_store_free;
    const double ends = begins + bytes / kLinkBytesPerSecond;
    const core::TimePoint first_byte_timeout =
        timeouts.TimesOutAt({At(m_now), true, std::nullopt});
    const core::TimePoint total_timeout =
        timeouts.TimesOutAt({At(m_now), true, At(ends)});
    if (At(begins) > first_byte_timeout || At(ends) > total_timeout) {
      FailAfter(i, std::max(first_byte_timeout, total_timeout));
      return;
    }
    Schedule(ends, [this, i, newest, next, records] {
      OnAnswer(i, newest, newest ? kVersions : next + records);
    });
  }

  void OnAnswer(size_t i, bool newest, uint64_t next) {
    Reader& reader = m_readers[i];
    if (next == kVersions && !reader.in_force_at) {
      reader.in_force_at = m_now;
    }
    ScheduleStep(
        i, newest ? reader.plan.OnNewest(m_reading.keys, next, At(m_now))
                  : reader.plan.OnBatch(false, next, kVersions, {}, At(m_now)));
  }

  Reading m_reading;
  std::vector<Reader> m_readers;
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  double m_now = 0;
  double m_fraction = 0;
  double m_store_free = 0;
};

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
  Fleet fleet(ProductReading());
  DOUBLES_EQUAL(kPartitionEnd, fleet.AllInForceAt(40), 2);
}

// Shows that the test above detects the failure: the same load, read version by
// version.
TEST(ReadAfterPartition,
     reading_every_version_takes_longer_than_the_partition) {
  Fleet fleet(VersionByVersion());
  CHECK(fleet.AllInForceAt(40) >
        kPartitionEnd + (kPartitionEnd - kPartitionStart));
}
