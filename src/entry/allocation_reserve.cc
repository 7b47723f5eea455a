// The reserve: the part of a claim that is not spent before a given time. See
// ReserveUntouched() for its use.
#include <algorithm>  // max, min
#include <cmath>      // sqrt

#include "coppervalve/entry/allocation_ledger.h"

namespace coppervalve::entry {

// The limit of spending at this time. Until a claim is acknowledged, the
// previous one may be the last in the log, and a successor would rely on it. So
// the lowest limit of all claims that may be the last applies, each until its
// own time.
core::Tokens AllocationLedger::CurrentSpendLimit(const AccountState& state,
                                                 core::TimePoint now) {
  core::Tokens limit = state.ceiling;
  for (const SpendLimit& spend_limit : state.spend_limits) {
    if (now < spend_limit.not_before) {
      limit = std::min(limit, spend_limit.limit);
    }
  }
  return limit;
}

void AllocationLedger::OnAcknowledged(uint64_t sequence, core::TimePoint now) {
  const core::Duration longest = m_context.period + m_options.min_outage;
  if (m_last_acknowledged && now - *m_last_acknowledged > longest) {
    m_history.OnOutage(1.0 / (m_context.routers + m_context.standbys));
  }
  m_last_acknowledged = now;
  for (auto& [account, state] : m_accounts) {
    // The newest acknowledged claim stays: it applies until its time.
    while (state.spend_limits.size() > 1 &&
           state.spend_limits[1].sequence <= sequence) {
      state.spend_limits.pop_front();
    }
  }
}

std::optional<core::TimePoint> AllocationLedger::SpendableAt(
    const core::AccountId& account,
    core::Tokens tokens,
    core::TimePoint now) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end() ||
      InUse(found->second) + tokens > found->second.ceiling) {
    return std::nullopt;
  }
  core::TimePoint at = now;
  for (const SpendLimit& spend_limit : found->second.spend_limits) {
    if (InUse(found->second) + tokens > spend_limit.limit) {
      at = std::max(at, spend_limit.not_before);
    }
  }
  return at;
}

// The limit until the next claims are acknowledged or, if none are, until the
// reserve may be spent.
core::Tokens AllocationLedger::NextSpendLimit(const AccountState& state,
                                              core::Tokens next,
                                              core::TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(m_options.held_back).count();
  const double expected = ExpectedDemand(state, seconds, now);
  const auto largest = static_cast<double>(state.largest.value());
  core::Tokens ahead(static_cast<int64_t>(
      expected + m_options.held_back_spread * std::sqrt(expected * largest)));
  if (IsLearning(now)) {
    const double part =
        seconds / std::chrono::duration<double>(m_options.ahead).count();
    const auto free = static_cast<double>((next - InUse(state)).value());
    ahead = std::max(ahead, core::Tokens(static_cast<int64_t>(free * part)));
  }
  return std::min(next, InUse(state) + std::max(ahead, state.requested));
}

void AllocationLedger::WriteReserve(AccountState& state,
                                    core::Tokens next,
                                    const v1::RouterBeat& beat,
                                    v1::AccountClaim& claim,
                                    core::TimePoint now) const {
  core::Tokens spend_limit = next;
  if (beat.not_before() != 0) {
    spend_limit = NextSpendLimit(state, next, now);
  }
  claim.set_reserve((next - spend_limit).value());
  const core::TimePoint not_before{core::Duration(beat.not_before())};
  state.spend_limits.push_back({beat.sequence(), spend_limit, not_before});
  state.requested = core::Tokens(0);
}

}  // namespace coppervalve::entry
