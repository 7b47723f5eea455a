#include "coppervalve/membership/drain.h"

namespace coppervalve::membership {

Drain::Drain(DrainLimits limits) : m_limits(limits) {}

void Drain::SetAddressLifetime(core::Duration lifetime) {
  m_limits.address_lifetime = lifetime;
}

bool Drain::Request(core::TimePoint now) {
  if (m_phase != DrainPhase::kActive) {
    return false;
  }
  m_phase = DrainPhase::kDraining;
  m_requested_at = now;
  return true;
}

DrainPhase Drain::Advance(core::TimePoint now, const DrainInputs& inputs) {
  while (PhaseComplete(now, inputs)) {
    m_phase = static_cast<DrainPhase>(static_cast<uint8_t>(m_phase) + 1);
  }
  return m_phase;
}

bool Drain::PhaseComplete(core::TimePoint now, const DrainInputs& inputs) {
  switch (m_phase) {
    case DrainPhase::kActive:
      return false;
    case DrainPhase::kDraining:
      return ListsExpired(now, inputs);
    case DrainPhase::kRefusingNew:
      return inputs.in_progress == 0 && inputs.queued == 0;
    // kReturning and kFinalising wait for the log without a time limit. Exiting
    // earlier would lose the bills of the last requests and leave unspent
    // tokens in quarantine, so any limit is left to the caller.
    case DrainPhase::kReturning:
      return inputs.holdings_settled;
    case DrainPhase::kFinalising:
      return inputs.finalized;
    case DrainPhase::kExit:
      return false;
  }
  return false;
}

/// Other routers may send this router's address to callers until they receive
/// the announcement of the drain, and callers use a list for its lifetime.
bool Drain::ListsExpired(core::TimePoint now, const DrainInputs& inputs) {
  const bool log_unavailable =
      now - m_requested_at >= m_limits.announce_timeout;
  if (!m_lists_expiring_since && (inputs.announced || log_unavailable)) {
    m_lists_expiring_since = now;
  }
  return m_lists_expiring_since &&
         now - *m_lists_expiring_since >=
             m_limits.address_lifetime + m_limits.margin;
}

}  // namespace coppervalve::membership
