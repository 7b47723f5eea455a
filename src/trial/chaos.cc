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

constexpr Duration kCheckEvery = milliseconds(100);
constexpr Duration kOrderEvery = seconds(3);
constexpr Duration kWarmUp = seconds(3);
constexpr size_t kMaxViolations = 5;

/// @brief Injects random faults and undoes each after a random time.
class Chaos {
 public:
  Chaos(Fleet& fleet,
        const Audit& audit,
        ChaosOptions options,
        std::vector<std::string>& trace)
      : m_fleet(fleet), m_audit(audit), m_options(options), m_trace(trace) {}

  void Start() {
    m_running = true;
    m_fleet.SetFate([this] { return NextFate(); });
    ScheduleNext();
    ScheduleOrder();
  }

  /// @brief Undoes all faults and starts the routers that are down.
  void Stop() {
    m_running = false;
    m_fleet.SetFate([] { return AttemptFate::kAnswered; });
    for (size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet.log_link(i) = LogLink{};
      m_fleet.CutAll(i, false);
      Node& node = m_fleet.node(i);
      if (node.alive() && node.paused()) {
        node.Resume();
      }
      if (!node.alive()) {
        node.Start();
      }
    }
    Note("all faults undone", 0);
  }

 private:
  void Note(const std::string& what, size_t node) {
    const auto at = std::chrono::duration_cast<milliseconds>(
                        m_fleet.now().time_since_epoch())
                        .count();
    m_trace.push_back(std::to_string(at) + " ms " + what + " " +
                      RouterName(node).value());
  }

  Duration RandomTime(Duration mean) {
    const double share = -std::log(1.0 - m_fleet.RandomShare());
    return Duration(
        static_cast<int64_t>(share * static_cast<double>(mean.count())));
  }

  size_t RandomNode() {
    return static_cast<size_t>(m_fleet.Random() % m_fleet.size());
  }

  void ScheduleNext() {
    m_fleet.timeline().After(RandomTime(m_options.mean_gap), [this] {
      if (!m_running) {
        return;
      }
      Inject();
      ScheduleNext();
    });
  }

  void ScheduleOrder() {
    m_fleet.timeline().After(kOrderEvery, [this] {
      if (m_running) {
        OrderOne();
        ScheduleOrder();
      }
    });
  }

  // Issues an operator's order to one engine after the other, and settles the
  // orders that no router can end any more.
  void OrderOne() {
    const core::UpstreamId upstream("engine-" + std::to_string(m_orders % 4));
    m_fleet.Order(upstream, "model-" + std::to_string(m_orders++));
    for (const ledger::Order* order : m_audit.fold().Orders()) {
      if (order->settled() || !order->taken() || !HasLookedAt(*order)) {
        continue;
      }
      m_fleet.SettleOrder(core::UpstreamId(order->order.upstream()),
                          order->fencing);
    }
  }

  // An order may be settled only when the router that took it can no longer
  // send it. This holds if, in two consecutive checks, its process was not
  // paused and either its incarnation was gone or the order was no longer open.
  bool HasLookedAt(const ledger::Order& order) {
    const Node* node = m_fleet.FindRouter(order.holder);
    const bool halted = node->alive() && node->paused();
    const bool live = m_audit.fold().FindLive(order.holder) != nullptr &&
                      m_audit.fold().FindLive(order.holder)->incarnation ==
                          order.holder_incarnation;
    if (halted || (live && order.open())) {
      m_looked.erase(order.fencing);
      return false;
    }
    return !m_looked.insert(order.fencing).second;
  }

  void UndoLater(Duration mean, std::function<void()> undo) {
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
        [this](size_t n) { CutPeers(n); },
        [this](size_t n) { CutLog(n); },
        [this](size_t n) { LoseReplies(n); },
        [this](size_t n) { SlowLog(n); },
        [this](size_t) { LogOut(); },
        [this](size_t n) { CutOneLink(n); },
        [this](size_t n) { DrainOne(n); },
        [this](size_t) { TopUpOne(); },
        [this](size_t) { BreakUpstreams(); },
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
    Note("kill", n);
    node.Kill();
    StartLater(n);
  }

  void StartLater(size_t n) {
    UndoLater(seconds(5), [this, n] {
      if (!m_fleet.node(n).alive()) {
        Note("start", n);
        m_fleet.node(n).Start();
      }
    });
  }

  void PauseOne(size_t n) {
    Node& node = m_fleet.node(n);
    if (!node.alive() || node.paused()) {
      return;
    }
    Note("pause", n);
    node.Pause();
    UndoLater(seconds(12), [this, n] {
      if (m_fleet.node(n).alive() && m_fleet.node(n).paused()) {
        Note("resume", n);
        m_fleet.node(n).Resume();
      }
    });
  }

  void CutPeers(size_t n) {
    Note("partitioned from peers", n);
    m_fleet.CutAll(n, true);
    UndoLater(seconds(10), [this, n] { m_fleet.CutAll(n, false); });
  }

  void CutOneLink(size_t n) {
    const size_t other = RandomNode();
    Note("partitioned from one peer", n);
    m_fleet.Cut(n, other, true);
    UndoLater(seconds(10), [this, n, other] { m_fleet.Cut(n, other, false); });
  }

  void CutLog(size_t n) {
    Note("disconnected from log", n);
    m_fleet.log_link(n).up = false;
    UndoLater(seconds(12), [this, n] { m_fleet.log_link(n).up = true; });
  }

  void Isolate(size_t n) {
    CutPeers(n);
    CutLog(n);
  }

  void LoseReplies(size_t n) {
    Note("log replies are lost", n);
    m_fleet.log_link(n).lose_replies = 0.5;
    UndoLater(seconds(10), [this, n] { m_fleet.log_link(n).lose_replies = 0; });
  }

  void SlowLog(size_t n) {
    Note("slow log", n);
    m_fleet.log_link(n).extra_delay = milliseconds(800);
    UndoLater(seconds(10),
              [this, n] { m_fleet.log_link(n).extra_delay = Duration{}; });
  }

  void LogOut() {
    Note("log unavailable for all", 0);
    for (size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet.log_link(i).up = false;
    }
    UndoLater(seconds(12), [this] {
      Note("log available again", 0);
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
    Note("drain", n);
    node.Drain();
    UndoLater(seconds(20), [this, n] {
      if (!m_fleet.node(n).alive()) {
        Note("start", n);
        m_fleet.node(n).Start();
      }
    });
  }

  void TopUpOne() {
    const auto budget = std::to_string(m_fleet.Random() % 3);
    Note("top-up b" + budget, 0);
    m_fleet.TopUp(core::BudgetId("b" + budget), core::Tokens(10'000));
  }

  void Publish() {
    Note("publish", 0);
    LoadOptions options;
    options.prepaid = m_options.prepaid;
    m_fleet.Publish(TrialConfiguration(options));
  }

  void BreakUpstreams() {
    Note("upstreams fail", 0);
    m_failing = 0.4;
    UndoLater(seconds(8), [this] { m_failing = 0.02; });
  }

  AttemptFate NextFate() {
    if (m_fleet.RandomShare() >= m_failing) {
      return AttemptFate::kAnswered;
    }
    constexpr AttemptFate kFates[] = {AttemptFate::kNotSent,
                                      AttemptFate::kDeclined, AttemptFate::kCut,
                                      AttemptFate::kSilent};
    return kFates[m_fleet.Random() % std::size(kFates)];
  }

  Fleet& m_fleet;
  const Audit& m_audit;
  ChaosOptions m_options;
  std::vector<std::string>& m_trace;
  bool m_running = false;
  double m_failing = 0.02;
  uint64_t m_orders = 0;
  std::set<core::FencingNumber> m_looked;  ///< orders that passed one check
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
  Load load(fleet, audit, load_options);
  Chaos chaos(fleet, audit, options, result.trace);

  const auto run_checked = [&](Duration duration) {
    const core::TimePoint end = fleet.now() + duration;
    while (fleet.now() < end && result.violations.size() < kMaxViolations) {
      fleet.Run(kCheckEvery);
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
  chaos.Start();
  run_checked(options.faults_for);
  chaos.Stop();
  load.Stop();
  run_checked(options.calm_after);
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
