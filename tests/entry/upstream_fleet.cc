#include "upstream_fleet.h"

#include <algorithm>  // max, min

#include "coppervalve/entry/limit_reports.h"
#include "entry_fixture.h"

namespace coppervalve::entry::testing {

namespace {

constexpr size_t kRouters = 24;
constexpr size_t kEngines = 60;
constexpr double kRequestsPerSecond = 407;
constexpr double kStep = 0.01;
constexpr double kBegin = -6;  // routers start; callers send from -3 s on
constexpr double kEnd = 12;
constexpr double kWarmUpSeconds = 3;
constexpr double kBound = 26;  // 14 x 1.5 + 5
constexpr double kHeartbeat = 1.2;
constexpr double kHeartbeatPeriod = 0.6;
constexpr double kReportPeriod = 0.3;
constexpr double kRestart = 0.7;
constexpr double kOverloadDownTime = 3;
constexpr double kLimitEnds = 12;
// The limit is checked from this time after it began.
constexpr double kLimitCheckDelay = 3;
// Span over which the limit is checked.
constexpr double kWindow = 4;
// A router is checked from this time after it learned the limit.
constexpr double kKnownBefore = 0.5;
constexpr double kEndOfLimitScenario = 20;
constexpr int kMaxAttempts = 6;

/// @brief The actual state of an engine, whatever routers believe.
struct Engine {
  std::string id;
  uint32_t starts = 0;
  bool up = true;
  double back_at = 0;
  double cold_until = -100;
  uint32_t running = 0;
  std::deque<double> arrivals;  ///< in the last second while cold
  /// When each start of a router learned the limit.
  std::map<std::pair<size_t, uint64_t>, double> limit_known_at;
  /// Arrivals from routers that know the limit.
  std::vector<double> from_informed;
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

/// @brief The state of one start of a router.
struct RouterState {
  RouterState(const core::RouterId& name,
              const FleetScenario& scenario,
              routing::RandomSource random)
      : contact(core::Duration(1'200'000), core::Duration(5'000'000)),
        members(name, core::Duration(3'500'000), contact, 3),
        senders(members, scenario.warm_up),
        gate(senders, {1.5, 5}, scenario.limits),
        loads(core::Duration(800'000)),
        placer(scenario.placement,
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
  std::unique_ptr<RouterState> state;
  double back_at = 0;
  double disconnected_until = -100;
  double read_delay = 0;
  double next_beat = 0;
  double next_report = 0;
  double capacity = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::deque<double> arrivals;
  bool up() const { return state != nullptr; }
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
  explicit Fleet(const FleetScenario& scenario)
      : m_scenario(scenario), m_random(scenario.seed) {
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
      vm.capacity = i % 4 == 0 && !scenario.many_active ? 250 : 25;
      m_routers.push_back(std::move(vm));
    }
    m_callers.resize(180);
  }

  FleetOutcome Simulate() {
    const double end = m_scenario.limited > 0 ? kEndOfLimitScenario : kEnd;
    for (m_now = kBegin; m_now < end; m_now += kStep) {
      StartRouters();
      InjectFaults();
      for (size_t i = 0; i < kRouters; ++i) {
        AdvanceRouter(i);
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
  bool Disconnected(const RouterVm& vm) const {
    return m_now < vm.disconnected_until;
  }

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
    return engine < m_scenario.limited && m_now >= 0 && m_now < kLimitEnds;
  }

  // Handles the limit in a response, or its absence.
  void Answer(const Run& run, RouterVm& vm) {
    const bool limited = Limited(run.engine);
    if (limited) {
      m_engines[run.engine].limit_known_at.emplace(
          std::pair(run.router, run.epoch), m_now);
    }
    vm.state->directory.OnLimitReceived(
        run.upstream,
        limited ? std::optional(m_scenario.per_second) : std::nullopt,
        At(100 + run.began), Now());
  }

  void CountLimited(size_t router, size_t index) {
    Engine& engine = m_engines[index];
    if (!Limited(index) || m_now < kLimitCheckDelay) {
      return;
    }
    ++engine.while_limited;
    const auto limit_known_at =
        engine.limit_known_at.find({router, m_routers[router].epoch});
    if (limit_known_at != engine.limit_known_at.end() &&
        m_now - limit_known_at->second >= kKnownBefore) {
      engine.from_informed.push_back(m_now);
    }
  }

  void CountLimits() {
    const double allowed = 1.5 * m_scenario.per_second * kWindow + 5;
    for (size_t i = 0; i < m_scenario.limited; ++i) {
      const std::vector<double>& times = m_engines[i].from_informed;
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > kWindow) {
          ++first;
        }
        const auto most = static_cast<double>(last - first + 1);
        m_outcome.limit_used = std::max(m_outcome.limit_used, most / allowed);
      }
      m_outcome.limit_utilisation += m_engines[i].while_limited /
                                     (kLimitEnds - kLimitCheckDelay) /
                                     m_scenario.per_second / m_scenario.limited;
    }
  }

  void WatchEnd() {
    if (m_scenario.limited == 0 || m_now < kLimitEnds) {
      return;
    }
    for (const RouterVm& vm : m_routers) {
      if (vm.up() && vm.state->members.SelfActive() &&
          vm.state->directory.Limited() > 0) {
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
      vm.state = std::make_unique<RouterState>(vm.name, m_scenario,
                                               [this] { return m_random(); });
      vm.next_beat = m_now + Between(0.1, 0.4);
    }
  }

  void InjectFaults() {
    if (!m_ended && m_now >= 3) {
      m_ended = true;
      for (size_t i = 0; i < m_scenario.back_cold; ++i) {
        if (m_scenario.in_place) {
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
    if (!m_disconnect_done && m_now >= m_scenario.disconnect_at) {
      m_disconnect_done = true;
      for (RouterVm& vm : m_routers) {
        if (Chance(m_scenario.disconnected_share)) {
          vm.disconnected_until = m_now + 6;
        }
      }
    }
    if (!m_kill_done && m_now >= m_kill_at) {
      m_kill_done = true;
      for (RouterVm& vm : m_routers) {
        if (Chance(m_scenario.killed_share)) {
          vm.state.reset();
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

  void AdvanceRouter(size_t i) {
    RouterVm& vm = m_routers[i];
    if (!vm.up()) {
      return;
    }
    RouterState& state = *vm.state;
    if (Disconnected(vm)) {
      state.store.OnFailure(Now());
    } else {
      Read(vm);
      state.store.OnAnswer(Now());
      if (m_now >= vm.next_beat) {
        vm.next_beat = m_now + kHeartbeatPeriod;
        Beat(vm);
      }
      if (m_now >= vm.next_report && state.members.SelfActive()) {
        vm.next_report = m_now + kReportPeriod;
        Report(vm);
      }
    }
    if (m_now >= m_next_tick[i]) {
      m_next_tick[i] = m_now + 0.2;
      state.members.Advance(state.store, Now());
      state.senders.Advance(Now());
      state.loads.Advance(Now());
    }
  }

  void Read(RouterVm& vm) {
    RouterState& state = *vm.state;
    const double until = m_now - vm.read_delay;
    // The first read returns the full list; its records are not changes.
    const bool listing = state.records_read == 0;
    std::vector<UpstreamRecord> listed;
    for (; state.records_read < m_records.size() &&
           m_records[state.records_read].at <= until;
         ++state.records_read) {
      const UpstreamEntry& entry = m_records[state.records_read].entry;
      const UpstreamRecord record{entry.id, entry, Now()};
      if (listing) {
        listed.push_back(record);
      } else {
        state.directory.OnRecord(record);
      }
    }
    if (!listed.empty()) {
      state.directory.ReplaceAll(listed, state.store, Now());
    }
    for (; state.beats_read < m_beats.size() &&
           m_beats[state.beats_read].at <= until;
         ++state.beats_read) {
      const WrittenBeat& read = m_beats[state.beats_read];
      state.members.OnHeartbeat(read.router, read.beat);
    }
    state.members.Refresh(Now());
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
    for (const auto& [id, upstream] : from.state->directory.all()) {
      if (upstream->in_flight != 0) {
        v1::UpstreamLoad* load = report.add_loads();
        load->set_upstream(upstream->load_key);
        load->set_in_flight(upstream->in_flight);
      }
    }
    AddLimitsToReport(from.state->directory, Now(), report);
    for (const std::string& address : from.state->members.LoadAddresses()) {
      RouterVm& to = *Named(address);
      if (to.up() && !Disconnected(to) && !Chance(0.02)) {
        to.state->contact.OnReport(from.name, true, Now());
        to.state->loads.OnReport(report, Now());
        ApplyReportedLimits(report, Now(), to.state->directory);
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
        RecordOutcome(
            vm, run.upstream,
            same_start ? AttemptOutcome::kAnswered : AttemptOutcome::kBroken);
        if (same_start) {
          Answer(run, vm);
        }
      }
    }
  }

  void RecordOutcome(RouterVm& vm,
                     const UpstreamRef& upstream,
                     AttemptOutcome outcome) {
    upstream->health.On(outcome, Now());
    vm.state->gate.OnOutcome(*upstream, outcome, Now());
  }

  void Arrive() {
    const double rate =
        kRequestsPerSecond * (m_now >= 5 ? m_scenario.load_factor : 1.0);
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
      if (asked.up() && !asked.state->members.Addresses().empty()) {
        caller.addresses = asked.state->members.Addresses();
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
    query.shared_prefix = Chance(m_scenario.hot_share)
                              ? "hot"
                              : "p" + std::to_string(m_random() % 600);
    query.routers = vm.state->members.ActiveCount();
    for (int i = 0; i < kMaxAttempts; ++i) {
      const Placement placement =
          vm.state->placer.Choose(vm.state->directory, query, Now());
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
      RecordOutcome(vm, upstream, AttemptOutcome::kUnreachable);
      return false;
    }
    if (engine.id != id) {
      RecordOutcome(vm, upstream, AttemptOutcome::kMisaddressed);
      return false;
    }
    vm.state->gate.OnSend(*upstream, Now());
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
    m_outcome.max_in_a_second = std::max(m_outcome.max_in_a_second, count);
    if (count > kBound) {
      ++m_outcome.overloaded;
      EndEngine(index, m_now + kOverloadDownTime);
    }
  }

  const FleetScenario m_scenario;
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
  bool m_disconnect_done = false;
  bool m_kill_done = false;
  double m_kill_at = Between(5.5, 7.5);
  FleetOutcome m_outcome;
};

}  // namespace

FleetOutcome SimulateFleet(FleetScenario scenario, uint64_t seeds) {
  FleetOutcome all;
  for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
    const FleetOutcome one = Fleet(scenario).Simulate();
    all.max_in_a_second = std::max(all.max_in_a_second, one.max_in_a_second);
    all.overloaded += one.overloaded;
    all.asked += one.asked;
    all.served += one.served;
    all.limit_used = std::max(all.limit_used, one.limit_used);
    all.limit_utilisation += one.limit_utilisation / static_cast<double>(seeds);
    all.end_known_after = std::max(all.end_known_after, one.end_known_after);
  }
  return all;
}

std::vector<NamedScenario> ColdScenarios() {
  std::vector<NamedScenario> scenarios;
  const auto add = [&scenarios](const char* name, auto change) {
    scenarios.push_back({name, {}});
    change(scenarios.back().scenario);
  };
  add("20 of 60", [](FleetScenario& p) { p.back_cold = 20; });
  add("48 of 60", [](FleetScenario&) {});
  add("60 of 60", [](FleetScenario& p) { p.back_cold = 60; });
  add("60, load x2", [](FleetScenario& p) {
    p.back_cold = 60;
    p.load_factor = 2;
  });
  add("48, cut before the return",
      [](FleetScenario& p) { p.disconnected_share = 1; });
  add("48, cut of all", [](FleetScenario& p) {
    p.disconnected_share = 1;
    p.disconnect_at = 6.6;
  });
  add("48, 40 % cut, load x2", [](FleetScenario& p) {
    p.disconnected_share = 0.4;
    p.load_factor = 2;
  });
  add("48, 40 % killed", [](FleetScenario& p) { p.killed_share = 0.4; });
  add("48, all killed", [](FleetScenario& p) { p.killed_share = 1; });
  add("20 in place", [](FleetScenario& p) {
    p.back_cold = 20;
    p.in_place = true;
  });
  add("20 in place, hot", [](FleetScenario& p) {
    p.back_cold = 20;
    p.in_place = true;
    p.hot_share = 0.5;
  });
  return scenarios;
}

std::vector<NamedScenario> LimitScenarios() {
  std::vector<NamedScenario> scenarios;
  const auto add = [&scenarios](const char* name, auto change) {
    scenarios.push_back({name, {}});
    scenarios.back().scenario.back_cold = 0;
    scenarios.back().scenario.limited = 10;
    change(scenarios.back().scenario);
  };
  add("10 of 60, 2 a second", [](FleetScenario&) {});
  add("10, 0.3 a second", [](FleetScenario& p) { p.per_second = 0.3; });
  add("10, 0.02 a second", [](FleetScenario& p) { p.per_second = 0.02; });
  add("10, none", [](FleetScenario& p) { p.per_second = 0; });
  add("10, 2 a second, many routers",
      [](FleetScenario& p) { p.many_active = true; });
  add("10, 0.3 a second, many routers", [](FleetScenario& p) {
    p.per_second = 0.3;
    p.many_active = true;
  });
  add("60, 2 a second", [](FleetScenario& p) { p.limited = 60; });
  add("60, 2 a second, many routers", [](FleetScenario& p) {
    p.limited = 60;
    p.many_active = true;
  });
  add("60, 5 a second, load x2", [](FleetScenario& p) {
    p.limited = 60;
    p.per_second = 5;
    p.load_factor = 2;
  });
  add("60, 10 a second, many, load x2", [](FleetScenario& p) {
    p.limited = 60;
    p.per_second = 10;
    p.load_factor = 2;
    p.many_active = true;
  });
  add("60, 2 a second, 40 % killed", [](FleetScenario& p) {
    p.limited = 60;
    p.killed_share = 0.4;
    p.many_active = true;
  });
  add("60, 2 a second, all killed", [](FleetScenario& p) {
    p.limited = 60;
    p.killed_share = 1;
  });
  add("60, 2 a second, 40 % cut", [](FleetScenario& p) {
    p.limited = 60;
    p.disconnected_share = 0.4;
    p.many_active = true;
  });
  add("60, 10 a second, 40 % cut, load x2", [](FleetScenario& p) {
    p.limited = 60;
    p.per_second = 10;
    p.load_factor = 2;
    p.disconnected_share = 0.4;
    p.many_active = true;
  });
  add("60, 2 a second, all cut", [](FleetScenario& p) {
    p.limited = 60;
    p.disconnected_share = 1;
    p.many_active = true;
  });
  return scenarios;
}

}  // namespace coppervalve::entry::testing
