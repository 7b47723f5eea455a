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
constexpr double kTextPerByte = 4.0 / 3;  // of the newest records
constexpr double kCutFrom = 6.2;
constexpr double kCutUntil = 13.8;
// Written during the cut, and the newest as it ends.
constexpr uint64_t kVersions = 18;
constexpr double kVersionBytes = 200e3;

/// @brief How a router reads: what it asks for, and how long it waits.
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

// Every version in turn, up to a megabyte a call, all of it within the time in
// which the answer must begin.
Reading OneByOne() {
  Reading reading;
  reading.plan.most_bytes = 1024 * 1024;
  reading.plan.only_newest_matters = false;
  reading.patience.first = core::Duration(1'800'000);
  reading.patience.whole = reading.patience.first;
  reading.keys = 1'000;
  return reading;
}

/// @brief Routers that follow the configuration before a store whose rate they
/// share, each behind a link of its own, in virtual time.
class Fleet {
 public:
  explicit Fleet(const Reading& reading)
      : m_reading(reading), m_readers(kRouters, Reader(reading)) {
    for (size_t i = 0; i < kRouters; ++i) {
      m_readers[i].plan.OnNewest(reading.keys, 0, At(kCutFrom - 0.1));
      // The read that hung when the cut began is given up during it.
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
  // Spread evenly, and the same in every run.
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
      return;  // it waits for the next version
    }
    const double bytes = static_cast<double>(records) * kVersionBytes *
                         (newest ? kTextPerByte : 1);
    // The store sends what it was asked for, whoever has given up on it.
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

// Callers are refused on routes that have been in force for seconds. All
// routers of a large fleet are cut off from the store while 18 large versions
// are written, and come back together: what they missed is more than the store
// can send, and on most links more than fits the time of a call.
TEST(ReturnAfterCut, the_newest_configuration_is_in_force_within_two_seconds) {
  Fleet fleet(AsShipped());
  DOUBLES_EQUAL(kCutUntil, fleet.AllInForceAt(40), 2);
}

// What the test above is good for: the same load, read version by version.
TEST(ReturnAfterCut, version_by_version_the_fleet_takes_longer_than_the_cut) {
  Fleet fleet(OneByOne());
  CHECK(fleet.AllInForceAt(40) > kCutUntil + (kCutUntil - kCutFrom));
}
