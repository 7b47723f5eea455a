#include "coppervalve/entry/shedding.h"

#include <CppUTest/TestHarness.h>

#include <deque>  // deque
#include <pcg_random.hpp>
#include <vector>  // vector

#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/reading_pace.h"
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

TEST_GROUP(ReadingPace) {
  ReadingPace pace;
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

TEST(Shedding, the_less_urgent_are_refused_a_little_earlier) {
  backlog.wait = 115ms;
  CHECK_FALSE(Shed(options, backlog, 0).has_value());
  backlog.rank = 1;
  CHECK(Shed(options, backlog, 0).has_value());
}

TEST(Shedding, the_caller_is_told_when_the_waiting_work_is_done) {
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

TEST(ReadingPace, a_few_answers_say_nothing) {
  pace.OnFirstPiece(chat, 1'000, 100ms);
  CHECK(pace.ToRead(chat, 5'000) == 0ms);
}

TEST(ReadingPace, what_is_the_same_for_all_does_not_count) {
  // 40 ms for any request and 20 microseconds a token.
  for (int i = 0; i < 50; ++i) {
    const double tokens = 1'000 + 500 * (i % 9);
    pace.OnFirstPiece(chat, tokens,
                      40ms + core::Duration(static_cast<int64_t>(20 * tokens)));
  }
  CHECK(pace.ToRead(chat, 10'000) > 195ms);
  CHECK(pace.ToRead(chat, 10'000) < 205ms);
  CHECK(pace.ToRead(core::ServiceId("other"), 10'000) == 0ms);
}

namespace {

/// @brief What callers of one kind got.
struct Got {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int left = 0;
  double InTime() const { return static_cast<double>(in_time) / asked; }
};

/// @brief Four engines that read prompts one after the other, and callers who
/// ask for more than they can read, placed and refused by the shipped
/// decisions; in virtual time.
class OverloadPlay {
 public:
  OverloadPlay(bool shed, double times_capacity) : m_times(times_capacity) {
    m_options.on = shed;
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

  Got small;
  Got large;

 private:
  struct Waiting {
    double to_read;
    double reading;
    double expected;
    double came;
    double sent;
    bool is_large;
  };
  static constexpr int kEngines = 4;
  static constexpr double kStep = 0.001;      // seconds
  static constexpr double kTokensAStep = 50;  // an engine
  static constexpr double kSmall = 1'500;     // tokens
  static constexpr double kLarge = 9'000;     // tokens
  static constexpr double kLargeShare = 0.2;  // of the requests
  static constexpr double kObjective = 0.6;   // seconds
  static constexpr double kPatience = 2.4;    // seconds

  Got& Of(bool is_large) { return is_large ? large : small; }
  double Uniform() {
    return static_cast<double>(m_random() >> 11) / 9007199254740992.0;
  }
  UpstreamRef Engine(int i) {
    return m_directory.Find(core::UpstreamId("e" + std::to_string(i)));
  }

  void Leave(int engine, const Waiting& one) {
    Engine(engine)->in_prefill -= one.reading;
    --Engine(engine)->in_flight;
  }

  void Read() {
    for (int i = 0; i < kEngines; ++i) {
      std::deque<Waiting>& queue = m_queues[static_cast<size_t>(i)];
      while (!queue.empty() && m_now - queue.front().came > kPatience) {
        ++Of(queue.front().is_large).left;
        Leave(i, queue.front());
        queue.pop_front();
      }
      if (queue.empty()) {
        continue;
      }
      queue.front().to_read -= kTokensAStep;
      if (queue.front().to_read > 0) {
        continue;
      }
      const Waiting done = queue.front();
      queue.pop_front();
      Leave(i, done);
      m_pace.OnFirstPiece(
          core::ServiceId("chat"), done.expected,
          core::Duration(static_cast<int64_t>((m_now - done.sent) * 1e6)));
      Got& got = Of(done.is_large);
      ++(m_now - done.came <= kObjective ? got.in_time : got.late);
    }
  }

  void Arrivals() {
    const double mean = kLargeShare * kLarge + (1 - kLargeShare) * kSmall;
    const double rate = m_times * kEngines * kTokensAStep / mean;  // a step
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
    backlog.wait = m_pace.ToRead(query.service, placement.waiting);
    backlog.objective = core::Duration(static_cast<int64_t>(kObjective * 1e6));
    if (Shed(m_options, backlog, Uniform())) {
      ++Of(is_large).refused;
      return;
    }
    ++placement.upstream->in_flight;
    placement.upstream->in_prefill += placement.own_reading;
    const auto engine =
        static_cast<size_t>(placement.upstream->entry.id.value().back() - '0');
    m_queues[engine].push_back({static_cast<double>(query.prompt.value()),
                                placement.own_reading, placement.to_read, m_now,
                                m_now, is_large});
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
  ReadingPace m_pace;
  std::vector<std::deque<Waiting>> m_queues{kEngines};
};

}  // namespace

TEST(Shedding, at_twice_the_load_half_of_the_callers_are_served_in_time) {
  // Callers of a busy hour: every one is taken, waits for over a second, and
  // is late or leaves; half of the work would have been done in time. With
  // refusals it is, and nobody waits in vain.
  OverloadPlay before(false, 2.0);
  before.Run(20);
  CHECK(before.small.InTime() < 0.1);
  OverloadPlay after(true, 2.0);
  after.Run(20);
  CHECK(after.small.InTime() > 0.4);
  CHECK_EQUAL(0, after.small.left + after.large.left);
  CHECK(after.small.late < after.small.asked / 20);
}

TEST(Shedding, large_requests_are_refused_no_more_often_than_small_ones) {
  OverloadPlay play(true, 2.0);
  play.Run(20);
  const double small =
      static_cast<double>(play.small.refused) / play.small.asked;
  const double large =
      static_cast<double>(play.large.refused) / play.large.asked;
  CHECK(large < small * 1.25);
  CHECK(play.large.InTime() > play.small.InTime() / 2);
}

TEST(Shedding, at_half_the_load_hardly_anybody_is_refused) {
  // Large prompts come in clusters by chance: a few callers meet one.
  OverloadPlay play(true, 0.5);
  play.Run(20);
  CHECK(play.small.refused + play.large.refused <
        (play.small.asked + play.large.asked) / 50);
  CHECK(play.small.InTime() > 0.95);
}
