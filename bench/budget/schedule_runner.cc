#include "bench/budget/schedule_runner.h"

#include <algorithm>  // max, min
#include <string>     // to_string

namespace coppervalve::bench {

namespace {

constexpr core::Duration kWarmUp = std::chrono::seconds(3);
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(200);
/// Four attempts of 15 s each, and the pauses between them.
constexpr core::Duration kMaxRequestTime = std::chrono::seconds(75);

trial::FleetOptions OptionsOf(uint64_t seed,
                              const budget::SizingPolicy& sizing) {
  trial::FleetOptions options;
  options.seed = seed;
  options.sizing = sizing;
  return options;
}

}  // namespace

ScheduleRunner::ScheduleRunner(uint64_t seed,
                               const trial::LoadOptions& load,
                               const budget::SizingPolicy& sizing)
    : m_fleet(OptionsOf(seed, sizing)),
      m_audit(m_fleet),
      m_load_options(load),
      m_load(m_fleet, m_audit, load) {}

void ScheduleRunner::Start() {
  m_fleet.Publish(trial::TrialConfiguration(m_load_options));
  m_fleet.StartAll();
  Run(kWarmUp);
  m_load.Start();
}

void ScheduleRunner::Run(core::Duration duration) {
  const core::TimePoint end = m_fleet.now() + duration;
  while (m_fleet.now() < end) {
    m_fleet.Run(std::min(kCheckInterval, end - m_fleet.now()));
    Check();
  }
}

void ScheduleRunner::Check() {
  m_outcome.violations += m_audit.Check().size();
  CountOverspend();
  UpdateCrashes();
}

void ScheduleRunner::CountOverspend() {
  const auto& executions = m_fleet.executions();
  for (; m_executions_seen < executions.size(); ++m_executions_seen) {
    const trial::Execution& run = executions[m_executions_seen];
    m_used[m_fleet.client_requests()[run.client_request].budget] +=
        run.used.value();
  }
  int64_t overspent = 0;
  for (const auto& [id, used] : m_used) {
    const ledger::Budget* budget = m_audit.fold().FindBudget(id);
    const int64_t paid_in = budget == nullptr ? 0 : budget->paid_in.value();
    overspent += std::max<int64_t>(used - paid_in, 0);
  }
  m_outcome.overspend = std::max(m_outcome.overspend, overspent);
}

void ScheduleRunner::Kill(size_t node) {
  trial::Node& victim = m_fleet.node(node);
  m_crashes.push_back({trial::RouterName(node), victim.core().incarnation(),
                       m_fleet.now(), false});
  victim.Kill();
}

core::Tokens ScheduleRunner::ReleasedTokens(const Crash& crash) const {
  core::Tokens released;
  const ledger::Member* member =
      m_audit.fold().FindMember(crash.router, crash.incarnation);
  if (member == nullptr || member->live()) {
    return released;
  }
  for (const auto& [id, holding] : member->holdings) {
    released += holding.released;
  }
  return released;
}

void ScheduleRunner::UpdateCrashes() {
  for (Crash& crash : m_crashes) {
    if (crash.returned || ReleasedTokens(crash) == core::Tokens(0)) {
      continue;
    }
    crash.returned = true;
    ++m_outcome.crashes_returned;
    m_outcome.return_time += m_fleet.now() - crash.at;
  }
}

void ScheduleRunner::TopUp(size_t budget, core::Tokens tokens) {
  m_fleet.TopUp(core::BudgetId("b" + std::to_string(budget)), tokens);
}

Outcome ScheduleRunner::Finish() {
  m_load.Stop();
  Run(kMaxRequestTime);
  m_outcome.violations += m_audit.CheckFolds().size();
  m_outcome.classes = m_load.Count();
  m_outcome.total = m_load.Total();
  m_outcome.tokens = m_audit.Count();
  m_outcome.log_appends = m_fleet.log().appends();
  for (size_t i = 0; i < m_fleet.size(); ++i) {
    m_outcome.peer_messages += m_fleet.node(i).peer_messages();
  }
  m_outcome.crashes = m_crashes.size();
  if (m_outcome.crashes_returned > 0) {
    m_outcome.return_time /= static_cast<int64_t>(m_outcome.crashes_returned);
  }
  return m_outcome;
}

}  // namespace coppervalve::bench
