#include "coppervalve/router/detail/status_report.h"

#include <string>  // string

namespace coppervalve::router::detail {

namespace {

std::string PhaseName(const StatusSources& sources) {
  if (sources.log.failure().has_value()) {
    return "stopped";
  }
  switch (sources.phase) {
    case Phase::kReading:
    case Phase::kJoining:
      return "starting";
    case Phase::kRetired:
    case Phase::kEnded:
      return "retired";
    case Phase::kStopped:
      return "stopped";
    case Phase::kMember:
      break;
  }
  if (sources.drain != membership::DrainPhase::kActive) {
    return "draining";
  }
  return sources.stale ? "stale" : "active";
}

void AddUpstreams(core::TimePoint now,
                  const StatusSources& sources,
                  v1::RouterStatus& status) {
  const routing::UpstreamTable& table = sources.flow.upstreams();
  for (const routing::UpstreamSlot slot : table.Slots()) {
    const routing::Candidate facts = table.Inspect(
        slot, v1::INTERACTIVE, sources.settings.failure_domain, now);
    v1::UpstreamStatus& out = *status.add_upstreams();
    out.set_id(table.InfoOf(slot).id.value());
    const bool leaving = facts.usability == routing::Usability::kLeaving;
    out.set_health(leaving ? "leaving"
                           : std::string(routing::ToString(facts.health)));
    out.set_in_progress(facts.own);
    out.set_limit(facts.limit);
  }
}

void AddBudgets(const StatusSources& sources, v1::RouterStatus& status) {
  for (v1::BudgetStatus& budget :
       sources.budgets.holding_manager().Statuses()) {
    const ledger::Budget* known =
        sources.log.fold().FindBudget(core::BudgetId(budget.id()));
    if (known != nullptr) {
      budget.set_free(known->free.value());
    }
    *status.add_budgets() = std::move(budget);
  }
}

}  // namespace

v1::RouterStatus ReportStatus(core::TimePoint now,
                              const StatusSources& sources) {
  v1::RouterStatus status;
  status.set_router(sources.settings.router.value());
  status.set_incarnation(sources.incarnation.value());
  status.set_phase(PhaseName(sources));
  status.set_config_version(sources.configured.version().value());
  status.set_next_offset(sources.log.fold().next_offset().value());
  const auto age = sources.peers.LogAge(now);
  if (age.has_value()) {
    status.set_log_age_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()));
  }
  status.set_in_progress(static_cast<uint32_t>(sources.flow.in_progress()));
  status.set_queued(static_cast<uint32_t>(sources.flow.queued()));
  if (const auto& witness =
          sources.budgets.holding_manager().WitnessInForce()) {
    status.set_witness(witness->router.value());
  }
  AddUpstreams(now, sources, status);
  AddBudgets(sources, status);
  for (v1::PeerStatus& peer : sources.peers.view().Status(now)) {
    *status.add_peers() = std::move(peer);
  }
  status.set_backlog_records(sources.log.writer().backlog_records());
  return status;
}

}  // namespace coppervalve::router::detail
