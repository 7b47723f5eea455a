#include "upstream_fleet.h"

#include <algorithm>  // max, min

#include "coppervalve/entry/limit_words.h"
#include "entry_fixture.h"

namespace coppervalve::entry::testing {

namespace {

constexpr size_t kRouters = 24;
constexpr size_t kEngines = 60;
constexpr double kRequestsPerSecond = 407;
constexpr double kStep = 0.01;
constexpr double kBegin = -6;  // routers start, callers come from -3 s on
constexpr double kEnd = 12;
constexpr double kWarmUpSeconds = 3;
constexpr double kBound = 26;  // 14 x 1.5 + 5
constexpr double kHeartbeat = 1.2;
constexpr double kBeatPeriod = 0.6;
constexpr double kReportPeriod = 0.3;
constexpr double kRestart = 0.7;
constexpr double kFallOver = 3;
constexpr double kLimitEnds = 12;
constexpr double kContact = 3;       // from so long after it was named it binds
constexpr double kWindow = 4;        // over which it binds
constexpr double kToldBefore = 0.5;  // a router counts from so long after
constexpr double kEndOfLimitPlay = 20;
constexpr int kMostTries = 6;

/// @brief One engine as it is, whatever routers believe.
struct Engine {
  std::string id;
  uint32_t starts = 0;
  bool up = true;
  double back_at = 0;
  double cold_until = -100;
  uint32_t running = 0;
  std::deque<double> arrivals;  ///< while cold, in the last second
  std::map<std::pair<size_t, uint64_t>, double> told;  ///< starts of routers
  std::vector<double> from_told;  ///< arrivals while limited
  uint32_t while_limited = 0;
};

struct Record {
  double at;
  UpstreamEntry entry;
};

struct WrittenBeat {
  double at;
  core::RouterId router;
  v1::RouterBeat beat;
};

/// @brief What one start of a router knows.
struct Knowledge {
  Knowledge(const core::RouterId& name,
            const FleetPlay& play,
            routing::RandomSource random)
      : contact(core::Duration(1'200'000), core::Duration(5'000'000)),
        members(name, core::Duration(3'500'000), contact, 3),
        senders(members, play.warm_up),
        gate(senders, {1.5, 5}, play.limits),
        loads(core::Duration(800'000)),
        placer(play.placement,
               core::FailureDomainId("none"),
               loads,
               gate,
               std::move(random)) {
    gate.OnConfiguration(WarmingUp("engines"));
  }
  PeerContact contact;
  StoreContact store;
  MemberList members;
  UpstreamSenders senders;
  UpstreamGate gate;
  PeerLoads loads;
  UpstreamDirectory directory{DirectoryOptions{}};
  Placer placer;
  size_t beats_read = 0;
  size_t records_read = 0;
};

struct RouterVm {
  core::RouterId name;
  std::unique_ptr<Knowledge> knows;
  double back_at = 0;
  double cut_until = -100;
  double read_delay = 0;
  double next_beat = 0;
  double next_report = 0;
  double capacity = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::deque<double> arrivals;
  bool up() const { return knows != nullptr; }
};

struct Caller {
  std::vector<std::string> addresses;
  double ask_again = -100;
};

struct Run {
  double began;
  double ends;
  size_t router;
  uint64_t epoch;
  size_t engine;
  uint32_t start;
  UpstreamRef upstream;
  friend bool operator<(const Run& a, const Run& b) { return a.ends > b.ends; }
};

class Fleet {
 public:
  explicit Fleet(const FleetPlay& play) : m_play(play), m_random(play.seed) {
    for (size_t i = 0; i < kEngines; ++i) {
      Engine engine;
      engine.id = "e" + std::to_string(i);
      m_engines.push_back(engine);
      Write(i, kBegin - 1);
    }
    for (size_t i = 0; i < kRouters; ++i) {
      RouterVm vm;
      vm.name = core::RouterId("router-" + std::to_string(i));
      vm.read_delay = Between(0.05, 0.9);
      vm.capacity = i % 4 == 0 && !play.many_active ? 250 : 25;
      m_routers.push_back(std::move(vm));
    }
    m_callers.resize(180);
  }

  FleetOutcome Play() {
    const double end = m_play.limited > 0 ? kEndOfLimitPlay : kEnd;
    for (m_now = kBegin; m_now < end; m_now += kStep) {
      StartRouters();
      Disturb();
      for (size_t i = 0; i < kRouters; ++i) {
        Work(i);
      }
      EndRuns();
      if (m_now >= -3) {
        Arrive();
      }
      WatchEnd();
    }
    CountLimits();
    return m_outcome;
  }

 private:
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(m_random);
  }
  bool Chance(double part) { return Between(0, 1) < part; }
  core::TimePoint Now() const { return At(100 + m_now); }
  bool Cut(const RouterVm& vm) const { return m_now < vm.cut_until; }

  UpstreamEntry EntryNow(size_t i) const {
    const Engine& engine = m_engines[i];
    UpstreamEntry entry = EntryOf(engine.id, "engines");
    entry.address = "10.0.1." + std::to_string(i) + ":80";
    entry.slots = 64;
    entry.warm_up_left = core::Duration(
        static_cast<int64_t>(std::max(engine.cold_until - m_now, 0.0) * 1e6));
    return entry;
  }
  void Write(size_t i, double at) { m_records.push_back({at, EntryNow(i)}); }

  bool Limited(size_t engine) const {
    return engine < m_play.limited && m_now >= 0 && m_now < kLimitEnds;
  }

  // The answer to a run, as far as it is about limits.
  void Answer(const Run& run, RouterVm& vm) {
    const bool limited = Limited(run.engine);
    if (limited) {
      m_engines[run.engine].told.emplace(std::pair(run.router, run.epoch),
                                         m_now);
    }
    vm.knows->directory.OnLimitWord(
        run.upstream, limited ? std::optional(m_play.per_second) : std::nullopt,
        At(100 + run.began), Now());
  }

  void CountLimited(size_t router, size_t index) {
    Engine& engine = m_engines[index];
    if (!Limited(index) || m_now < kContact) {
      return;
    }
    ++engine.while_limited;
    const auto told = engine.told.find({router, m_routers[router].epoch});
    if (told != engine.told.end() && m_now - told->second >= kToldBefore) {
      engine.from_told.push_back(m_now);
    }
  }

  void CountLimits() {
    const double allowed = 1.5 * m_play.per_second * kWindow + 5;
    for (size_t i = 0; i < m_play.limited; ++i) {
      const std::vector<double>& times = m_engines[i].from_told;
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > kWindow) {
          ++first;
        }
        const auto most = static_cast<double>(last - first + 1);
        m_outcome.limit_used = std::max(m_outcome.limit_used, most / allowed);
      }
      m_outcome.limit_filled += m_engines[i].while_limited /
                                (kLimitEnds - kContact) / m_play.per_second /
                                m_play.limited;
    }
  }

  void WatchEnd() {
    if (m_play.limited == 0 || m_now < kLimitEnds) {
      return;
    }
    for (const RouterVm& vm : m_routers) {
      if (vm.up() && vm.knows->members.SelfActive() &&
          vm.knows->directory.Limited() > 0) {
        m_outcome.end_known_after = m_now - kLimitEnds;
      }
    }
  }

  void StartRouters() {
    for (RouterVm& vm : m_routers) {
      if (vm.up() || m_now < vm.back_at) {
        continue;
      }
      ++vm.epoch;
      vm.sequence = 0;
      vm.knows = std::make_unique<Knowledge>(vm.name, m_play,
                                             [this] { return m_random(); });
      vm.next_beat = m_now + Between(0.1, 0.4);
    }
  }

  void Disturb() {
    if (!m_ended && m_now >= 3) {
      m_ended = true;
      for (size_t i = 0; i < m_play.back_cold; ++i) {
        if (m_play.in_place) {
          m_engines[i].cold_until = m_now + kWarmUpSeconds;
          m_pending.push_back({m_now + Between(0, kHeartbeat), i});
        } else {
          EndEngine(i, 6);
        }
      }
    }
    std::erase_if(m_pending, [this](const std::pair<double, size_t>& one) {
      if (m_now < one.first) {
        return false;
      }
      Write(one.second, m_now);
      return true;
    });
    for (size_t i = 0; i < kEngines; ++i) {
      Engine& engine = m_engines[i];
      if (!engine.up && m_now >= engine.back_at) {
        engine.up = true;
        ++engine.starts;
        engine.id =
            "e" + std::to_string(i) + "-" + std::to_string(engine.starts);
        engine.cold_until = m_now + kWarmUpSeconds;
        m_pending.push_back({m_now + Between(0, 0.3), i});
      }
    }
    if (!m_cut_done && m_now >= m_play.cut_at) {
      m_cut_done = true;
      for (RouterVm& vm : m_routers) {
        if (Chance(m_play.cut_part)) {
          vm.cut_until = m_now + 6;
        }
      }
    }
    if (!m_kill_done && m_now >= m_kill_at) {
      m_kill_done = true;
      for (RouterVm& vm : m_routers) {
        if (Chance(m_play.killed_part)) {
          vm.knows.reset();
          vm.back_at = m_now + kRestart;
        }
      }
    }
  }

  void EndEngine(size_t i, double back_at) {
    Engine& engine = m_engines[i];
    engine.up = false;
    engine.back_at = back_at;
    engine.running = 0;
    engine.arrivals.clear();
  }

  void Work(size_t i) {
    RouterVm& vm = m_routers[i];
    if (!vm.up()) {
      return;
    }
    Knowledge& knows = *vm.knows;
    if (Cut(vm)) {
      knows.store.OnFailure(Now());
    } else {
      Read(vm);
      knows.store.OnAnswer(Now());
      if (m_now >= vm.next_beat) {
        vm.next_beat = m_now + kBeatPeriod;
        Beat(vm);
      }
      if (m_now >= vm.next_report && knows.members.SelfActive()) {
        vm.next_report = m_now + kReportPeriod;
        Report(vm);
      }
    }
    if (m_now >= m_next_tick[i]) {
      m_next_tick[i] = m_now + 0.2;
      knows.members.Advance(knows.store, Now());
      knows.senders.Advance(Now());
      knows.loads.Advance(Now());
    }
  }

  void Read(RouterVm& vm) {
    Knowledge& knows = *vm.knows;
    const double until = m_now - vm.read_delay;
    // The first reading is of the list: what came before it is no news.
    const bool listing = knows.records_read == 0;
    std::vector<UpstreamRecord> listed;
    for (; knows.records_read < m_records.size() &&
           m_records[knows.records_read].at <= until;
         ++knows.records_read) {
      const UpstreamEntry& entry = m_records[knows.records_read].entry;
      const UpstreamRecord record{entry.id, entry, Now()};
      if (listing) {
        listed.push_back(record);
      } else {
        knows.directory.OnRecord(record);
      }
    }
    if (!listed.empty()) {
      knows.directory.ReplaceAll(listed, knows.store, Now());
    }
    for (; knows.beats_read < m_beats.size() &&
           m_beats[knows.beats_read].at <= until;
         ++knows.beats_read) {
      const WrittenBeat& read = m_beats[knows.beats_read];
      knows.members.OnHeartbeat(read.router, read.beat, Now());
    }
  }

  void Beat(RouterVm& vm) {
    v1::RouterBeat beat;
    beat.set_epoch(vm.epoch);
    beat.set_sequence(++vm.sequence);
    beat.set_caller_address(vm.name.value());
    beat.set_load_address(vm.name.value());
    beat.set_failure_domain("fd-a");
    beat.set_ready(true);
    beat.set_capacity(vm.capacity);
    while (!vm.arrivals.empty() && vm.arrivals.front() < m_now - 1) {
      vm.arrivals.pop_front();
    }
    beat.set_load(static_cast<double>(vm.arrivals.size()));
    m_beats.push_back({m_now, vm.name, beat});
  }

  void Report(RouterVm& from) {
    v1::LoadReport report;
    report.set_router(from.name.value());
    report.set_epoch(from.epoch);
    report.set_sequence(++from.sequence);
    for (const auto& [id, upstream] : from.knows->directory.all()) {
      if (upstream->in_flight != 0) {
        v1::UpstreamLoad* load = report.add_loads();
        load->set_upstream(upstream->load_key);
        load->set_in_flight(upstream->in_flight);
      }
    }
    TellLimits(from.knows->directory, Now(), report);
    for (const std::string& address : from.knows->members.LoadAddresses()) {
      RouterVm& to = *Named(address);
      if (to.up() && !Cut(to) && !Chance(0.02)) {
        to.knows->contact.OnReport(from.name, true, Now());
        to.knows->loads.OnReport(report, Now());
        HearLimits(report, Now(), to.knows->directory);
      }
    }
  }

  RouterVm* Named(const std::string& name) {
    for (RouterVm& vm : m_routers) {
      if (vm.name.value() == name) {
        return &vm;
      }
    }
    return nullptr;
  }

  void EndRuns() {
    while (!m_runs.empty() && m_runs.top().ends <= m_now) {
      const Run run = m_runs.top();
      m_runs.pop();
      RouterVm& vm = m_routers[run.router];
      Engine& engine = m_engines[run.engine];
      const bool same_start = engine.up && engine.starts == run.start;
      if (same_start && engine.running > 0) {
        --engine.running;
      }
      if (same_start && m_now >= 3 && m_now < kEnd) {
        ++m_outcome.served;
      }
      if (vm.up() && vm.epoch == run.epoch) {
        --run.upstream->in_flight;
        Tell(vm, run.upstream,
             same_start ? AttemptOutcome::kAnswered : AttemptOutcome::kBroken);
        if (same_start) {
          Answer(run, vm);
        }
      }
    }
  }

  void Tell(RouterVm& vm, const UpstreamRef& upstream, AttemptOutcome outcome) {
    upstream->health.On(outcome, Now());
    vm.knows->gate.OnOutcome(*upstream, outcome, Now());
  }

  void Arrive() {
    const double rate = kRequestsPerSecond * (m_now >= 5 ? m_play.surge : 1.0);
    m_due += rate * kStep;
    for (; m_due >= 1; m_due -= 1) {
      if (m_now >= 3 && m_now < kEnd) {
        ++m_outcome.asked;
      }
      Caller& caller = m_callers[m_random() % m_callers.size()];
      if (RouterVm* vm = Reach(caller)) {
        vm->arrivals.push_back(m_now);
        Serve(*vm);
      }
    }
  }

  RouterVm* Reach(Caller& caller) {
    if (m_now >= caller.ask_again || caller.addresses.empty()) {
      const RouterVm& asked = m_routers[m_random() % kRouters];
      if (asked.up() && !asked.knows->members.Addresses().empty()) {
        caller.addresses = asked.knows->members.Addresses();
        caller.ask_again = m_now + Between(2, 6);
      }
    }
    for (int i = 0; i < 3 && !caller.addresses.empty(); ++i) {
      RouterVm* vm =
          Named(caller.addresses[m_random() % caller.addresses.size()]);
      if (vm->up()) {
        return vm;
      }
    }
    return nullptr;
  }

  void Serve(RouterVm& vm) {
    PlacementQuery query;
    query.service = core::ServiceId("engines");
    query.engine = true;
    query.prompt = core::Tokens(3'000);
    query.shared_tokens = core::Tokens(1'000);
    query.shared_prefix = Chance(m_play.hot_part)
                              ? "hot"
                              : "p" + std::to_string(m_random() % 600);
    query.routers = vm.knows->members.ActiveCount();
    for (int i = 0; i < kMostTries; ++i) {
      const Placement placement =
          vm.knows->placer.Choose(vm.knows->directory, query, Now());
      if (!placement.upstream) {
        return;
      }
      if (Send(vm, placement.upstream)) {
        return;
      }
      query.exclude.push_back(placement.upstream->entry.id);
    }
  }

  bool Send(RouterVm& vm, const UpstreamRef& upstream) {
    const std::string& id = upstream->entry.id.value();
    const size_t index = std::stoul(id.substr(1));
    Engine& engine = m_engines[index];
    if (!engine.up) {
      Tell(vm, upstream, AttemptOutcome::kUnreachable);
      return false;
    }
    if (engine.id != id) {
      Tell(vm, upstream, AttemptOutcome::kMisaddressed);
      return false;
    }
    vm.knows->gate.OnSend(*upstream, Now());
    ++upstream->in_flight;
    ++engine.running;
    const bool cold = m_now < engine.cold_until;
    Count(engine, cold, index);
    const double time = 0.3 * (cold ? 1.6 : 1.0) * (1 + engine.running / 64.0);
    const auto router = static_cast<size_t>(&vm - m_routers.data());
    CountLimited(router, index);
    m_runs.push({m_now, m_now + time, router, vm.epoch, index, engine.starts,
                 upstream});
    return true;
  }

  void Count(Engine& engine, bool cold, size_t index) {
    while (!engine.arrivals.empty() &&
           engine.arrivals.front() <= m_now - 1 + 1e-9) {
      engine.arrivals.pop_front();
    }
    if (!cold) {
      return;
    }
    engine.arrivals.push_back(m_now);
    const auto count = static_cast<uint32_t>(engine.arrivals.size());
    m_outcome.most_in_a_second = std::max(m_outcome.most_in_a_second, count);
    if (count > kBound) {
      ++m_outcome.fell_over;
      EndEngine(index, m_now + kFallOver);
    }
  }

  const FleetPlay m_play;
  std::mt19937_64 m_random;
  double m_now = kBegin;
  std::vector<Engine> m_engines;
  std::vector<Record> m_records;
  std::vector<std::pair<double, size_t>> m_pending;
  std::vector<RouterVm> m_routers;
  std::map<size_t, double> m_next_tick;
  std::vector<WrittenBeat> m_beats;
  std::vector<Caller> m_callers;
  std::priority_queue<Run> m_runs;
  double m_due = 0;
  bool m_ended = false;
  bool m_cut_done = false;
  bool m_kill_done = false;
  double m_kill_at = Between(5.5, 7.5);
  FleetOutcome m_outcome;
};

}  // namespace

FleetOutcome PlayFleet(FleetPlay play, uint64_t seeds) {
  FleetOutcome all;
  for (play.seed = 1; play.seed <= seeds; ++play.seed) {
    const FleetOutcome one = Fleet(play).Play();
    all.most_in_a_second = std::max(all.most_in_a_second, one.most_in_a_second);
    all.fell_over += one.fell_over;
    all.asked += one.asked;
    all.served += one.served;
    all.limit_used = std::max(all.limit_used, one.limit_used);
    all.limit_filled += one.limit_filled / static_cast<double>(seeds);
    all.end_known_after = std::max(all.end_known_after, one.end_known_after);
  }
  return all;
}

std::vector<NamedPlay> ColdPlays() {
  std::vector<NamedPlay> plays;
  const auto add = [&plays](const char* name, auto change) {
    plays.push_back({name, {}});
    change(plays.back().play);
  };
  add("20 of 60", [](FleetPlay& p) { p.back_cold = 20; });
  add("48 of 60", [](FleetPlay&) {});
  add("60 of 60", [](FleetPlay& p) { p.back_cold = 60; });
  add("60, load x2", [](FleetPlay& p) {
    p.back_cold = 60;
    p.surge = 2;
  });
  add("48, cut before the return", [](FleetPlay& p) { p.cut_part = 1; });
  add("48, cut of all", [](FleetPlay& p) {
    p.cut_part = 1;
    p.cut_at = 6.6;
  });
  add("48, 40 % cut, load x2", [](FleetPlay& p) {
    p.cut_part = 0.4;
    p.surge = 2;
  });
  add("48, 40 % killed", [](FleetPlay& p) { p.killed_part = 0.4; });
  add("48, all killed", [](FleetPlay& p) { p.killed_part = 1; });
  add("20 in place", [](FleetPlay& p) {
    p.back_cold = 20;
    p.in_place = true;
  });
  add("20 in place, hot", [](FleetPlay& p) {
    p.back_cold = 20;
    p.in_place = true;
    p.hot_part = 0.5;
  });
  return plays;
}

std::vector<NamedPlay> LimitPlays() {
  std::vector<NamedPlay> plays;
  const auto add = [&plays](const char* name, auto change) {
    plays.push_back({name, {}});
    plays.back().play.back_cold = 0;
    plays.back().play.limited = 10;
    change(plays.back().play);
  };
  add("10 of 60, 2 a second", [](FleetPlay&) {});
  add("10, 0.3 a second", [](FleetPlay& p) { p.per_second = 0.3; });
  add("10, 0.02 a second", [](FleetPlay& p) { p.per_second = 0.02; });
  add("10, none", [](FleetPlay& p) { p.per_second = 0; });
  add("10, 2 a second, many routers",
      [](FleetPlay& p) { p.many_active = true; });
  add("10, 0.3 a second, many routers", [](FleetPlay& p) {
    p.per_second = 0.3;
    p.many_active = true;
  });
  add("60, 2 a second", [](FleetPlay& p) { p.limited = 60; });
  add("60, 2 a second, many routers", [](FleetPlay& p) {
    p.limited = 60;
    p.many_active = true;
  });
  add("60, 5 a second, load x2", [](FleetPlay& p) {
    p.limited = 60;
    p.per_second = 5;
    p.surge = 2;
  });
  add("60, 10 a second, many, load x2", [](FleetPlay& p) {
    p.limited = 60;
    p.per_second = 10;
    p.surge = 2;
    p.many_active = true;
  });
  add("60, 2 a second, 40 % killed", [](FleetPlay& p) {
    p.limited = 60;
    p.killed_part = 0.4;
    p.many_active = true;
  });
  add("60, 2 a second, all killed", [](FleetPlay& p) {
    p.limited = 60;
    p.killed_part = 1;
  });
  add("60, 2 a second, 40 % cut", [](FleetPlay& p) {
    p.limited = 60;
    p.cut_part = 0.4;
    p.many_active = true;
  });
  add("60, 10 a second, 40 % cut, load x2", [](FleetPlay& p) {
    p.limited = 60;
    p.per_second = 10;
    p.surge = 2;
    p.cut_part = 0.4;
    p.many_active = true;
  });
  add("60, 2 a second, all cut", [](FleetPlay& p) {
    p.limited = 60;
    p.cut_part = 1;
    p.many_active = true;
  });
  return plays;
}

}  // namespace coppervalve::entry::testing
