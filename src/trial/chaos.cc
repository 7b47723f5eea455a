#include "coppervalve/trial/chaos.h"

#include <cmath>       // log
#include <functional>  // function
#include <set>         // set
#include <utility>     // move

#include "coppervalve/trial/audit.h"

namespace coppervalve::trial {

using core::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kCheckInterval = milliseconds(100);
constexpr Duration kOrderInterval = seconds(3);
constexpr Duration kWarmUp = seconds(3);
constexpr size_t kMaxViolations = 5;

/// @brief Injects random faults and undoes each after a random time.
class FaultInjector {
 public:
  FaultInjector(Fleet& fleet,
                const Audit& audit,
                ChaosOptions options,
                std::vector<std::string>& trace)
      : m_fleet(fleet), m_audit(audit), m_options(options), m_trace(trace) {}

  void Start() {
    m_running = true;
    m_fleet.SetAttemptOutcome([this] { return NextAttemptOutcome(); });
    ScheduleNext();
    ScheduleOrder();
  }

  /// @brief Undoes all faults and starts the routers that are down.
  void Stop() {
    m_running = false;
    m_fleet.SetAttemptOutcome([] { return AttemptOutcome::kAnswered; });
    for (size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet.log_link(i) = LogLink{};
      m_fleet.SetPartitionedFromAll(i, false);
      Node& node = m_fleet.node(i);
      if (node.alive() && node.paused()) {
        node.Resume();
      }
      if (!node.alive()) {
        node.Start();
      }
    }
    AddTrace("all faults undone", 0);
  }

 private:
  void AddTrace(const std::string& what, size_t node) {
    const auto at = std::chrono::duration_cast<milliseconds>(
                        m_fleet.now().time_since_epoch())
                        .count();
    m_trace.push_back(std::to_string(at) + " ms " + what + " " +
                      RouterName(node).value());
  }

  Duration RandomTime(Duration mean) {
    const double share = -std::log(1.0 - m_fleet.RandomFraction());
    return Duration(
        static_cast<int64_t>(share * static_cast<double>(mean.count())));
  }

  size_t RandomNode() {
    return static_cast<size_t>(m_fleet.Random() % m_fleet.size());
  }

  void ScheduleNext() {
    m_fleet.timeline().After(RandomTime(m_options.mean_fault_interval), [this] {
      if (!m_running) {
        return;
      }
      Inject();
      ScheduleNext();
    });
  }

  void ScheduleOrder() {
    m_fleet.timeline().After(kOrderInterval, [this] {
      if (m_running) {
        IssueOrder();
        ScheduleOrder();
      }
    });
  }

  // Issues an operator's order to one engine after the other, and settles the
  // orders that no router can end any more.
  void IssueOrder() {
    const core::UpstreamId upstream("engine-" + std::to_string(m_orders % 4));
    m_fleet.Order(upstream, "model-" + std::to_string(m_orders++));
    for (const ledger::Order* order : m_audit.fold().Orders()) {
      if (order->settled() || !order->taken() || !MaySettle(*order)) {
        continue;
      }
      m_fleet.SettleOrder(core::UpstreamId(order->order.upstream()),
                          order->fencing);
    }
  }

  // An order may be settled only when the router that took it can no longer
  // send it. This holds if, in two consecutive checks, its process was not
  // paused and either its incarnation was gone or the order was no longer open.
  bool MaySettle(const ledger::Order& order) {
    const Node* node = m_fleet.FindRouter(order.holder);
    const bool paused_now = node->alive() && node->paused();
    const bool live = m_audit.fold().FindLive(order.holder) != nullptr &&
                      m_audit.fold().FindLive(order.holder)->incarnation ==
                          order.holder_incarnation;
    if (paused_now || (live && order.open())) {
      m_settle_candidates.erase(order.fencing);
      return false;
    }
    return !m_settle_candidates.insert(order.fencing).second;
  }

  void ScheduleUndo(Duration mean, std::function<void()> undo) {
    m_fleet.timeline().After(RandomTime(mean), [this, undo = std::move(undo)] {
      if (m_running) {
        undo();
      }
    });
  }

  void Inject() {
    const size_t node = RandomNode();
    const std::vector<std::function<void(size_t)>> faults = {
        [this](size_t n) { KillOne(n); },
        [this](size_t n) { KillOne(n); },
        [this](size_t n) { PauseOne(n); },
        [this](size_t n) { PauseOne(n); },
        [this](size_t n) { PartitionFromPeers(n); },
        [this](size_t n) { DisconnectLog(n); },
        [this](size_t n) { LoseReplies(n); },
        [this](size_t n) { SlowLog(n); },
        [this](size_t) { StartLogOutage(); },
        [this](size_t n) { PartitionOneLink(n); },
        [this](size_t n) { DrainOne(n); },
        [this](size_t) { TopUpOne(); },
        [this](size_t) { FailUpstreams(); },
        [this](size_t n) { Isolate(n); },
        [this](size_t) { Publish(); },
    };
    faults[m_fleet.Random() % faults.size()](node);
  }

  void KillOne(size_t n) {
    Node& node = m_fleet.node(n);
    if (!node.alive()) {
      return;
    }
    AddTrace("kill", n);
    node.Kill();
    StartLater(n);
  }

  void StartLater(size_t n) {
    ScheduleUndo(seconds(5), [this, n] {
      if (!m_fleet.node(n).alive()) {
        AddTrace("start", n);
        m_fleet.node(n).Start();
      }
    });
  }

  void PauseOne(size_t n) {
    Node& node = m_fleet.node(n);
    if (!node.alive() || node.paused()) {
      return;
    }
    AddTrace("pause", n);
    node.Pause();
    ScheduleUndo(seconds(12), [this, n] {
      if (m_fleet.node(n).alive() && m_fleet.node(n).paused()) {
        AddTrace("resume", n);
        m_fleet.node(n).Resume();
      }
    });
  }

  void PartitionFromPeers(size_t n) {
    AddTrace("partitioned from peers", n);
    m_fleet.SetPartitionedFromAll(n, true);
    ScheduleUndo(seconds(10),
                 [this, n] { m_fleet.SetPartitionedFromAll(n, false); });
  }

  void PartitionOneLink(size_t n) {
    const size_t other = RandomNode();
    AddTrace("partitioned from one peer", n);
    m_fleet.SetPartitioned(n, other, true);
    ScheduleUndo(seconds(10),
                 [this, n, other] { m_fleet.SetPartitioned(n, other, false); });
  }

  void DisconnectLog(size_t n) {
    AddTrace("disconnected from log", n);
    m_fleet.log_link(n).up = false;
    ScheduleUndo(seconds(12), [this, n] { m_fleet.log_link(n).up = true; });
  }

  void Isolate(size_t n) {
    PartitionFromPeers(n);
    DisconnectLog(n);
  }

  void LoseReplies(size_t n) {
    AddTrace("log replies are lost", n);
    m_fleet.log_link(n).lose_replies = 0.5;
    ScheduleUndo(seconds(10),
                 [this, n] { m_fleet.log_link(n).lose_replies = 0; });
  }

  void SlowLog(size_t n) {
    AddTrace("slow log", n);
    m_fleet.log_link(n).extra_delay = milliseconds(800);
    ScheduleUndo(seconds(10),
                 [this, n] { m_fleet.log_link(n).extra_delay = Duration{}; });
  }

  void StartLogOutage() {
    AddTrace("log unavailable for all", 0);
    for (size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet.log_link(i).up = false;
    }
    ScheduleUndo(seconds(12), [this] {
      AddTrace("log available again", 0);
      for (size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.log_link(i).up = true;
      }
    });
  }

  void DrainOne(size_t n) {
    Node& node = m_fleet.node(n);
    if (!node.alive() || node.paused()) {
      return;
    }
    AddTrace("drain", n);
    node.Drain();
    ScheduleUndo(seconds(20), [this, n] {
      if (!m_fleet.node(n).alive()) {
        AddTrace("start", n);
        m_fleet.node(n).Start();
      }
    });
  }

  void TopUpOne() {
    const auto budget = std::to_string(m_fleet.Random() % 3);
    AddTrace("top-up b" + budget, 0);
    m_fleet.TopUp(core::BudgetId("b" + budget), core::Tokens(10'000));
  }

  void Publish() {
    AddTrace("publish", 0);
    LoadOptions options;
    options.prepaid = m_options.prepaid;
    m_fleet.Publish(TrialConfiguration(options));
  }

  void FailUpstreams() {
    AddTrace("upstreams fail", 0);
    m_failure_probability = 0.4;
    ScheduleUndo(seconds(8), [this] { m_failure_probability = 0.02; });
  }

  AttemptOutcome NextAttemptOutcome() {
    if (m_fleet.RandomFraction() >= m_failure_probability) {
      return AttemptOutcome::kAnswered;
    }
    constexpr AttemptOutcome kOutcomes[] = {
        AttemptOutcome::kNotSent, AttemptOutcome::kDeclined,
        AttemptOutcome::kTruncated, AttemptOutcome::kSilent};
    return kOutcomes[m_fleet.Random() % std::size(kOutcomes)];
  }

  Fleet& m_fleet;
  const Audit& m_audit;
  ChaosOptions m_options;
  std::vector<std::string>& m_trace;
  bool m_running = false;
  double m_failure_probability = 0.02;
  uint64_t m_orders = 0;
  std::set<core::FencingNumber>
      m_settle_candidates;  ///< orders that passed one check
};

}  // namespace

ChaosResult RunChaos(const ChaosOptions& options) {
  ChaosResult result;
  FleetOptions fleet_options;
  fleet_options.seed = options.seed;
  fleet_options.log_retain = options.log_retain;
  Fleet fleet(fleet_options);
  Audit audit(fleet);
  fleet.SetOnLogLine([&](size_t node, const router::LogLine& line) {
    if (line.event == "retired") {
      ++result.retirements;
    }
    if (line.event == "routed") {
      audit.OnDispatch(node);
    }
    if (line.level == router::LogLine::Level::kError) {
      std::string text = RouterName(node).value();
      for (const auto& [name, value] : line.fields) {
        text.append(" ").append(name).append("=").append(value);
      }
      result.trace.push_back(text);
    }
  });
  LoadOptions load_options;
  load_options.prepaid = options.prepaid;
  LoadGenerator load(fleet, audit, load_options);
  FaultInjector injector(fleet, audit, options, result.trace);

  const auto run_checked = [&](Duration duration) {
    const core::TimePoint end = fleet.now() + duration;
    while (fleet.now() < end && result.violations.size() < kMaxViolations) {
      fleet.Run(kCheckInterval);
      for (Violation& violation : audit.Check()) {
        result.trace.push_back("VIOLATION " + violation.invariant + " " +
                               violation.what);
        result.violations.push_back(std::move(violation));
      }
    }
  };

  fleet.Publish(TrialConfiguration(load_options));
  fleet.StartAll();
  run_checked(kWarmUp);
  load.Start();
  injector.Start();
  run_checked(options.fault_duration);
  injector.Stop();
  load.Stop();
  run_checked(options.recovery_duration);
  for (Violation& violation : audit.CheckFolds()) {
    result.violations.push_back(std::move(violation));
  }
  result.total = load.Total();
  result.tokens = audit.Count();
  result.orders_applied = fleet.engine_orders().applied().size();
  result.log_appends = fleet.log().appends();
  return result;
}

}  // namespace coppervalve::trial
