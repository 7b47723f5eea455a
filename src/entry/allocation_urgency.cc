// Keeps the last tokens of an account for its more urgent requests.
#include <algorithm>  // max

#include "coppervalve/entry/allocation_ledger.h"

namespace coppervalve::entry {

namespace {

// If claims are overdue by this time beyond the claim period, this router
// cannot count on tokens beyond its ceiling.
constexpr core::Duration kAcknowledgmentGrace{900'000};

}  // namespace

bool AllocationLedger::ClaimsAreAcknowledged(core::TimePoint now) const {
  return m_last_acknowledged &&
         now - *m_last_acknowledged < m_context.period + kAcknowledgmentGrace;
}

// Tokens that this router can still spend on an account: its unused ceiling
// and, while claims are acknowledged, its share of the unclaimed tokens.
core::Tokens AllocationLedger::OwnRemainder(const AccountState& state,
                                            core::TimePoint now) const {
  core::Tokens rest = state.ceiling - InUse(state);
  if (ClaimsAreAcknowledged(now)) {
    const auto free =
        static_cast<double>(std::max(Free(state), core::Tokens(0)).value());
    rest +=
        core::Tokens(static_cast<int64_t>(free * OwnShareOverRestarts(state)));
  }
  return rest;
}

// After a power failure of all VMs, the remaining tokens run out while requests
// of all ranks arrive. Without this check, large requests that can wait use up
// the tokens of many small urgent ones. A request passes only if the expected
// demand of more urgent requests within `urgent_ahead` still fits afterwards.
// This does not apply during a partition: more tokens can be claimed when it
// ends, so the kept ones would remain unused.
bool AllocationLedger::LeavesEnoughForUrgent(const AccountState& state,
                                             core::Tokens tokens,
                                             uint8_t rank,
                                             core::TimePoint now) const {
  if (!state.rationed) {
    return true;
  }
  const double seconds =
      std::chrono::duration<double>(m_options.urgent_ahead).count();
  const double urgent =
      state.ranked.MoreUrgentPerSecond(rank, m_options.urgent_part, now) *
      seconds;
  if (urgent <= 0) {
    return true;
  }
  const core::Tokens left = OwnRemainder(state, now) - tokens;
  return static_cast<double>(left.value()) >= urgent;
}

}  // namespace coppervalve::entry
