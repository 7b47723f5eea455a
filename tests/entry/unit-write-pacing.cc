#include "coppervalve/entry/write_pacing.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>   // max
#include <functional>  // greater
#include <optional>    // optional
#include <pcg_random.hpp>
#include <queue>   // priority_queue
#include <vector>  // vector

#include "coppervalve/entry/heartbeat_rate.h"

using namespace coppervalve;
using namespace coppervalve::entry;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kAppendTime{2'000};
constexpr core::Duration kMaxQueue{2'000'000};
// An epoch and a first heartbeat make a router known.
constexpr int kWritesToBeKnown = 2;
// Time after a power loss within which the fleet must serve again.
constexpr core::Duration kRecoveryTime{18'000'000};

/// One partition of the store in virtual time: it executes appends one at a
/// time and rejects them while more than two seconds are queued.
class Partition {
 public:
  /// @return when the append is executed; nullopt = rejected
  std::optional<core::TimePoint> Append(core::TimePoint now) {
    ++m_calls;
    const core::TimePoint begins = std::max(now, m_busy_until);
    if (begins - now > kMaxQueue) {
      return std::nullopt;
    }
    m_busy_until = begins + kAppendTime;
    return m_busy_until;
  }
  core::Duration Queue(core::TimePoint now) const {
    return std::max(m_busy_until - now, core::Duration::zero());
  }
  uint64_t calls() const { return m_calls; }

 private:
  core::TimePoint m_busy_until{};
  uint64_t m_calls = 0;
};

/// Routers that start at the same moment and do not know how many they are.
class StartingFleet {
 public:
  explicit StartingFleet(size_t routers) : m_routers(routers) {
    for (size_t i = 0; i < routers; ++i) {
      m_routers[i].pacing.Expect(kMaxQueue);
      m_events.push({core::TimePoint(milliseconds(m_random() % 300)), i});
    }
  }

  void RunUntil(core::TimePoint end) {
    while (!m_events.empty() && m_events.top().at < end) {
      const Event event = m_events.top();
      m_events.pop();
      Write(event);
    }
  }

  core::TimePoint all_known_at() const { return m_all_known_at; }
  bool all_known() const { return m_known == m_routers.size(); }
  const Partition& partition() const { return m_partition; }

 private:
  struct Event {
    core::TimePoint at;
    size_t router = 0;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  struct Router {
    WritePacing pacing;
    int written = 0;
  };

  void Write(const Event& event) {
    Router& router = m_routers[event.router];
    const core::Duration timeout = router.pacing.Timeout();
    const auto done = m_partition.Append(event.at);
    if (!done || *done - event.at > timeout) {
      const core::Duration took = done ? timeout : core::Duration::zero();
      router.pacing.OnFailure(took, false);
      const double jitter = static_cast<double>(m_random() % 1'000) / 1'000;
      Schedule(event.at + took + router.pacing.RetryDelay(jitter), event);
      return;
    }
    router.pacing.OnWritten(*done - event.at);
    if (++router.written == kWritesToBeKnown) {
      ++m_known;
      m_all_known_at = std::max(m_all_known_at, *done);
    }
    Schedule(*done + NextDelay(router), event);
  }
  // The other routers are not known, so the period does not grow with them.
  static core::Duration NextDelay(const Router& router) {
    if (router.written < kWritesToBeKnown) {
      return core::Duration::zero();
    }
    const HeartbeatLimits limits{500, 1, 1, false};
    return std::max(HeartbeatPeriod(limits),
                    router.pacing.PauseAfterWrite(false));
  }
  void Schedule(core::TimePoint at, const Event& event) {
    m_events.push({at, event.router});
  }

  std::vector<Router> m_routers;
  Partition m_partition;
  pcg64 m_random{20261203};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  size_t m_known = 0;
  core::TimePoint m_all_known_at{};
};

core::TimePoint At(core::Duration time) {
  return core::TimePoint(time);
}

}  // namespace

// clang-format off
TEST_GROUP(WritePacing) {};
// clang-format on

TEST(WritePacing, a_fleet_that_starts_at_once_becomes_known) {
  // Routers that give up before the queue of the store reaches their write, and
  // repeat it, keep the queue full: most of a large fleet is never known.
  for (const size_t routers : {30U, 300U, 1'000U, 2'000U}) {
    StartingFleet fleet(routers);
    fleet.RunUntil(At(kRecoveryTime));
    CHECK(fleet.all_known());
    CHECK(fleet.all_known_at() < At(kRecoveryTime));
  }
}

TEST(WritePacing,
     the_store_queues_heartbeats_of_any_fleet_without_rejecting_them) {
  for (const size_t routers : {300U, 1'000U, 2'000U}) {
    StartingFleet fleet(routers);
    for (int second = 19; second < 60; ++second) {
      fleet.RunUntil(At(seconds(second)));
      CHECK(fleet.partition().Queue(At(seconds(second))) < kMaxQueue);
    }
  }
}

TEST(WritePacing, the_timeout_grows_only_while_replies_are_missing) {
  WritePacing pacing;
  const core::Duration shortest = pacing.Timeout();
  pacing.OnFailure(milliseconds(2), false);  // rejected at once
  CHECK(pacing.Timeout() == shortest);
  pacing.OnFailure(shortest, false);
  CHECK(pacing.Timeout() == 2 * shortest);
  for (int i = 0; i < 100; ++i) {
    pacing.OnFailure(pacing.Timeout(), false);
  }
  CHECK(pacing.Timeout() > kMaxQueue);
  CHECK(pacing.Timeout() < 2 * kMaxQueue);
  pacing.OnWritten(milliseconds(4));
  CHECK(pacing.Timeout() == shortest);
}

TEST(WritePacing, the_timeout_does_not_grow_while_the_store_is_silent) {
  WritePacing pacing;
  const core::Duration shortest = pacing.Timeout();
  for (int i = 0; i < 100; ++i) {
    pacing.OnFailure(pacing.Timeout(), true);
  }
  CHECK(pacing.Timeout() == shortest);
}

TEST(WritePacing, retries_back_off_up_to_a_limit) {
  WritePacing pacing;
  pacing.OnFailure(milliseconds(2), false);
  const core::Duration first = pacing.RetryDelay(0);
  CHECK(first <= pacing.RetryDelay(0.5));
  pacing.OnFailure(milliseconds(2), false);
  CHECK(pacing.RetryDelay(0) == 2 * first);
  for (int i = 0; i < 1'000; ++i) {
    pacing.OnFailure(milliseconds(2), false);
  }
  CHECK(pacing.RetryDelay(1) < seconds(4));
}

TEST(WritePacing, urgent_writers_do_not_pause) {
  WritePacing pacing;
  pacing.OnWritten(milliseconds(100));
  CHECK(pacing.PauseAfterWrite(true) == core::Duration::zero());
  CHECK(pacing.PauseAfterWrite(false) > milliseconds(100));
}
