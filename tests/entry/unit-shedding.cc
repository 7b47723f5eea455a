#include "coppervalve/entry/shedding.h"

#include <CppUTest/TestHarness.h>

#include <deque>  // deque
#include <pcg_random.hpp>
#include <vector>  // vector

#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/prefill_time_estimator.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(Shedding) {
  SheddingOptions options;
  Backlog backlog{0ms, 600ms, 0};
};

TEST_GROUP(PrefillTimeEstimator) {
  PrefillTimeEstimator pace;
  core::ServiceId chat{"chat"};
};
// clang-format on

TEST(Shedding, nothing_is_refused_while_upstreams_keep_up) {
  backlog.wait = 120ms;
  CHECK_FALSE(Shed(options, backlog, 0).has_value());
}

TEST(Shedding, more_is_refused_the_longer_the_wait) {
  backlog.wait = 180ms;
  CHECK(Shed(options, backlog, 0.2).has_value());
  CHECK_FALSE(Shed(options, backlog, 0.3).has_value());
  backlog.wait = 361ms;
  CHECK(Shed(options, backlog, 0.999).has_value());
}

TEST(Shedding, less_urgent_requests_are_refused_a_little_earlier) {
  backlog.wait = 115ms;
  CHECK_FALSE(Shed(options, backlog, 0).has_value());
  backlog.rank = 1;
  CHECK(Shed(options, backlog, 0).has_value());
}

TEST(Shedding, the_retry_delay_covers_the_queued_work) {
  backlog.wait = 900ms;
  CHECK(*Shed(options, backlog, 0) == 900ms);
  backlog.wait = 130ms;
  CHECK(*Shed(options, backlog, 0) == 200ms);
}

TEST(Shedding, without_an_objective_nothing_is_refused) {
  backlog.objective = 0ms;
  backlog.wait = 10s;
  CHECK_FALSE(Shed(options, backlog, 0).has_value());
}

TEST(PrefillTimeEstimator, a_few_samples_give_no_estimate) {
  pace.AddSample(chat, 1'000, 100ms);
  CHECK(pace.Estimate(chat, 5'000) == 0ms);
}

TEST(PrefillTimeEstimator, the_constant_part_does_not_count) {
  // 40 ms for any request and 20 microseconds per token.
  for (int i = 0; i < 50; ++i) {
    const double tokens = 1'000 + 500 * (i % 9);
    pace.AddSample(chat, tokens,
                   40ms + core::Duration(static_cast<int64_t>(20 * tokens)));
  }
  CHECK(pace.Estimate(chat, 10'000) > 195ms);
  CHECK(pace.Estimate(chat, 10'000) < 205ms);
  CHECK(pace.Estimate(core::ServiceId("other"), 10'000) == 0ms);
}

namespace {

/// @brief Outcomes of the requests of one kind.
struct Outcomes {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int left = 0;
  double InTime() const { return static_cast<double>(in_time) / asked; }
};

/// @brief Simulates four engines that process prompts sequentially, and callers
/// who exceed their capacity, with the production placement and shedding, in
/// virtual time.
class OverloadSimulation {
 public:
  OverloadSimulation(bool shed, double times_capacity)
      : m_times(times_capacity) {
    m_options.enabled = shed;
    for (int i = 0; i < kEngines; ++i) {
      UpstreamEntry entry = EntryOf("e" + std::to_string(i), "chat");
      entry.slots = 1'000;
      m_directory.OnRecord(RecordOf(entry));
    }
  }

  void Run(double until) {
    for (; m_now < until; m_now += kStep) {
      Read();
      Arrivals();
    }
  }

  Outcomes small;
  Outcomes large;

 private:
  struct QueuedRequest {
    double remaining;
    double reading;
    double expected;
    double arrived;
    double sent;
    bool is_large;
  };
  static constexpr int kEngines = 4;
  static constexpr double kStep = 0.001;        // seconds
  static constexpr double kTokensPerStep = 50;  // per engine
  static constexpr double kSmall = 1'500;       // tokens
  static constexpr double kLarge = 9'000;       // tokens
  static constexpr double kLargeShare = 0.2;    // of all requests
  static constexpr double kObjective = 0.6;     // seconds
  static constexpr double kPatience = 2.4;      // seconds

  Outcomes& Of(bool is_large) { return is_large ? large : small; }
  double Uniform() {
    return static_cast<double>(m_random() >> 11) / 9007199254740992.0;
  }
  UpstreamRef Engine(int i) {
    return m_directory.Find(core::UpstreamId("e" + std::to_string(i)));
  }

  void Leave(int engine, const QueuedRequest& one) {
    Engine(engine)->in_prefill -= one.reading;
    --Engine(engine)->in_flight;
  }

  void Read() {
    for (int i = 0; i < kEngines; ++i) {
      std::deque<QueuedRequest>& queue = m_queues[static_cast<size_t>(i)];
      while (!queue.empty() && m_now - queue.front().arrived > kPatience) {
        ++Of(queue.front().is_large).left;
        Leave(i, queue.front());
        queue.pop_front();
      }
      if (queue.empty()) {
        continue;
      }
      queue.front().remaining -= kTokensPerStep;
      if (queue.front().remaining > 0) {
        continue;
      }
      const QueuedRequest done = queue.front();
      queue.pop_front();
      Leave(i, done);
      m_pace.AddSample(
          core::ServiceId("chat"), done.expected,
          core::Duration(static_cast<int64_t>((m_now - done.sent) * 1e6)));
      Outcomes& got = Of(done.is_large);
      ++(m_now - done.arrived <= kObjective ? got.in_time : got.late);
    }
  }

  void Arrivals() {
    const double mean = kLargeShare * kLarge + (1 - kLargeShare) * kSmall;
    const double rate = m_times * kEngines * kTokensPerStep / mean;  // per step
    if (Uniform() < rate) {
      Ask(Uniform() < kLargeShare);
    }
  }

  void Ask(bool is_large) {
    ++Of(is_large).asked;
    PlacementQuery query;
    query.service = core::ServiceId("chat");
    query.engine = true;
    query.prompt =
        core::Tokens(static_cast<int64_t>(is_large ? kLarge : kSmall));
    const Placement placement = m_placer.Choose(m_directory, query, At(m_now));
    Backlog backlog;
    backlog.wait = m_pace.Estimate(query.service, placement.queued_prefill);
    backlog.objective = core::Duration(static_cast<int64_t>(kObjective * 1e6));
    if (Shed(m_options, backlog, Uniform())) {
      ++Of(is_large).refused;
      return;
    }
    ++placement.upstream->in_flight;
    placement.upstream->in_prefill += placement.own_prefill;
    const auto engine =
        static_cast<size_t>(placement.upstream->entry.id.value().back() - '0');
    m_queues[engine].push_back({static_cast<double>(query.prompt.value()),
                                placement.own_prefill, placement.total_prefill,
                                m_now, m_now, is_large});
  }

  double m_times;
  SheddingOptions m_options;
  pcg64 m_random{7};
  double m_now = 0;
  UpstreamDirectory m_directory{DirectoryOptions{}};
  UpstreamGate m_gate;
  PeerLoads m_peers{core::Duration(800'000)};
  Placer m_placer{{}, core::FailureDomainId("fd-a"), m_peers, m_gate, [this] {
                    return m_random();
                  }};
  PrefillTimeEstimator m_pace;
  std::vector<std::deque<QueuedRequest>> m_queues{kEngines};
};

}  // namespace

TEST(Shedding, at_twice_the_load_half_of_the_callers_are_served_in_time) {
  // Without shedding every request is accepted and waits for more than a
  // second, and is late or its caller leaves, although half of the work could
  // have been done in time. With shedding that half is done in time, and no
  // caller waits for a response that comes too late.
  OverloadSimulation before(false, 2.0);
  before.Run(20);
  CHECK(before.small.InTime() < 0.1);
  OverloadSimulation after(true, 2.0);
  after.Run(20);
  CHECK(after.small.InTime() > 0.4);
  CHECK_EQUAL(0, after.small.left + after.large.left);
  CHECK(after.small.late < after.small.asked / 20);
}

TEST(Shedding, large_requests_are_refused_no_more_often_than_small_ones) {
  OverloadSimulation simulation(true, 2.0);
  simulation.Run(20);
  const double small =
      static_cast<double>(simulation.small.refused) / simulation.small.asked;
  const double large =
      static_cast<double>(simulation.large.refused) / simulation.large.asked;
  CHECK(large < small * 1.25);
  CHECK(simulation.large.InTime() > simulation.small.InTime() / 2);
}

TEST(Shedding, at_half_the_load_hardly_any_request_is_refused) {
  // Large prompts cluster by chance, so a few callers are rejected.
  OverloadSimulation simulation(true, 0.5);
  simulation.Run(20);
  CHECK(simulation.small.refused + simulation.large.refused <
        (simulation.small.asked + simulation.large.asked) / 50);
  CHECK(simulation.small.InTime() > 0.95);
}
