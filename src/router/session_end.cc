#include "coppervalve/router/detail/session.h"

#include <limits>   // numeric_limits
#include <utility>  // exchange, move

namespace coppervalve::router::detail {

using core::TimePoint;

void Session::OnOwnRetirement(TimePoint now) {
  if (m_phase != Phase::kMember) {
    return;
  }
  m_phase = Phase::kRetired;
  if (m_log.has_skipped_entries()) {
    // Entries with grants of this router were skipped, so its holdings can no
    // longer match the fold. It retires and starts a new incarnation.
    AnnounceRetirement();
    m_budgets.holding_manager().OnRetired(now);
  }
}

void Session::AnnounceRetirement() {
  if (std::exchange(m_retirement_sent, true)) {
    return;
  }
  v1::Record record;
  v1::RouterRetired& retired = *record.mutable_router_retired();
  retired.set_router(m_settings.router.value());
  retired.set_incarnation(m_incarnation.value());
  retired.set_as_of_sequence(std::numeric_limits<uint64_t>::max());
  retired.set_reason(v1::DRAINED);
  Append(std::move(record));
}

void Session::EndIfFinished(TimePoint now) {
  (void)now;
  if (m_phase != Phase::kRetired || !m_flow.IsIdle() ||
      !m_budgets.holding_manager().Finalized() ||
      m_log.writer().backlog_records() > 0) {
    return;
  }
  m_phase = Phase::kEnded;
}

void Session::On(TimePoint now, const DrainRequested& event) {
  (void)event;
  if (!m_drain.Request(now)) {
    return;
  }
  m_outbox.Info("drain_started", {{"router", m_settings.router.value()}});
  if (m_phase == Phase::kMember) {
    v1::Record record;
    record.mutable_drain_started();
    Append(std::move(record));
  }
}

void Session::AdvanceDrain(TimePoint now) {
  if (!draining()) {
    return;
  }
  membership::DrainInputs inputs;
  inputs.announced = m_drain_announced;
  inputs.in_progress = m_flow.in_progress() + m_orders.busy();
  inputs.queued = m_flow.queued();
  inputs.holdings_settled = m_budgets.HoldingsReturned();
  inputs.finalized = m_phase == Phase::kEnded || m_phase == Phase::kReading ||
                     m_phase == Phase::kJoining;
  const membership::DrainPhase phase = m_drain.Advance(now, inputs);
  if (phase >= membership::DrainPhase::kReturning &&
      !m_returning_since.has_value()) {
    m_returning_since = now;
    m_budgets.holding_manager().StartDrain(now);
  }
  if (phase == membership::DrainPhase::kFinalising &&
      m_phase == Phase::kMember) {
    AnnounceRetirement();
  }
  const bool timed_out = m_returning_since.has_value() &&
                         now - *m_returning_since >= m_settings.drain_timeout;
  if (phase == membership::DrainPhase::kExit || timed_out) {
    m_outbox.Add(Exit{});
  }
}

}  // namespace coppervalve::router::detail
