#include <CppUTest/TestHarness.h>

#include <algorithm>   // max, min
#include <cmath>       // fmod
#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <queue>       // priority_queue
#include <vector>      // vector

#include "coppervalve/entry/call_patience.h"
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
constexpr double kCutFrom = 6.2;
constexpr double kCutUntil = 13.8;
// Versions written during the partition; the last one is the newest when it
// ends.
constexpr uint64_t kVersions = 18;
constexpr double kVersionBytes = 200e3;

/// @brief How a router reads: its requests and timeouts.
struct Reading {
  ReadPlanOptions plan;
  CallPatience patience;
  size_t keys = 1;
};

Reading AsShipped() {
  Reading reading;
  reading.plan = ConfigurationPlan();
  reading.patience.first = core::Duration(1'800'000);
  reading.patience.whole = core::Duration(6'000'000);
  return reading;
}

// Reads every version in order, up to one megabyte per call, and must receive
// the whole answer within the first-byte timeout.
Reading OneByOne() {
  Reading reading;
  reading.plan.most_bytes = 1024 * 1024;
  reading.plan.only_newest_matters = false;
  reading.patience.first = core::Duration(1'800'000);
  reading.patience.whole = reading.patience.first;
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
      m_readers[i].plan.OnNewest(reading.keys, 0, At(kCutFrom - 0.1));
      // The call in progress when the partition began times out during it.
      Later(kCutFrom + 1 + Draw(), [this, i] { Fail(i, kCutFrom - 0.8); });
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

  void Later(double at, std::function<void()> run) {
    m_events.push({at, ++m_order, std::move(run)});
  }
  // Evenly distributed and deterministic.
  double Draw() {
    constexpr double kGoldenRatio = 0.618033988749895;
    m_draw = std::fmod(m_draw + kGoldenRatio, 1.0);
    return m_draw;
  }

  void Take(size_t i, const ReadStep& step) {
    const double at = m_now + std::chrono::duration<double>(step.delay).count();
    const bool newest = step.call != ReadStep::Call::kRecords;
    Later(at, [this, i, newest] { Call(i, newest); });
  }

  void FailAfter(size_t i, core::TimePoint give_up) {
    const double began = m_now;
    const double at =
        std::chrono::duration<double>(give_up.time_since_epoch()).count();
    Later(at, [this, i, began] { Fail(i, began); });
  }

  void Fail(size_t i, double began) {
    Take(i, m_readers[i].plan.OnFailure(Draw(), At(began), At(m_now)));
  }

  void Call(size_t i, bool newest) {
    const CallPatience& patience = m_reading.patience;
    if (m_now < kCutUntil) {
      FailAfter(i, patience.GiveUpAt({At(m_now), false, std::nullopt}));
      return;
    }
    const uint64_t next = m_readers[i].plan.next();
    const uint64_t fit = static_cast<uint64_t>(
        static_cast<double>(m_reading.plan.most_bytes) / kVersionBytes);
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
    const core::TimePoint no_start =
        patience.GiveUpAt({At(m_now), true, std::nullopt});
    const core::TimePoint no_end =
        patience.GiveUpAt({At(m_now), true, At(ends)});
    if (At(begins) > no_start || At(ends) > no_end) {
      FailAfter(i, std::max(no_start, no_end));
      return;
    }
    Later(ends, [this, i, newest, next, records] {
      OnAnswer(i, newest, newest ? kVersions : next + records);
    });
  }

  void OnAnswer(size_t i, bool newest, uint64_t next) {
    Reader& reader = m_readers[i];
    if (next == kVersions && !reader.in_force_at) {
      reader.in_force_at = m_now;
    }
    Take(i, newest
                ? reader.plan.OnNewest(m_reading.keys, next, At(m_now))
                : reader.plan.OnBatch(false, next, kVersions, {}, At(m_now)));
  }

  Reading m_reading;
  std::vector<Reader> m_readers;
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  double m_now = 0;
  double m_draw = 0;
  double m_store_free = 0;
};

}  // namespace

// clang-format off
TEST_GROUP(ReturnAfterCut) {};
// clang-format on

// Guards against refusing callers on routes that have been in force for
// seconds. All routers of a large fleet are partitioned from the store while 18
// large versions are written, and reconnect together. The missed versions
// exceed what the store can send, and on most links what fits the timeout of a
// call.
TEST(ReturnAfterCut, the_newest_configuration_is_in_force_within_two_seconds) {
  Fleet fleet(AsShipped());
  DOUBLES_EQUAL(kCutUntil, fleet.AllInForceAt(40), 2);
}

// Shows that the test above detects the failure: the same load, read version by
// version.
TEST(ReturnAfterCut, reading_every_version_takes_longer_than_the_partition) {
  Fleet fleet(OneByOne());
  CHECK(fleet.AllInForceAt(40) > kCutUntil + (kCutUntil - kCutFrom));
}
