#include "coppervalve/entry/allocation_ledger.h"

#include <algorithm>      // min, max
#include <cmath>          // sqrt
#include <limits>         // numeric_limits
#include <unordered_set>  // unordered_set

namespace coppervalve::entry {

namespace {

constexpr double kMinShareOfFree = 0.25;
// Own demand is a small sample of the fleet's demand. It takes full effect only
// where it far exceeds this router's equal share.
constexpr double kOwnDemandWeight = 0.5;
constexpr double kPriorRequests = 12;
// Leaves something for the first requests of an account that only other routers
// have served so far.
constexpr double kMinShareOfPrior = 0.1;

core::Tokens Times(core::Tokens tokens, double factor) {
  return core::Tokens(
      static_cast<int64_t>(static_cast<double>(tokens.value()) * factor));
}

core::Tokens ClampToZero(core::Tokens tokens) {
  return std::max(tokens, core::Tokens(0));
}

}  // namespace

core::Tokens AllocationLedger::InUse(const AccountState& state) {
  return state.spent + state.reserved;
}

// Tokens that no router has claimed. Negative while claims race.
core::Tokens AllocationLedger::Free(const AccountState& state) {
  return *state.total - state.others_claimed - state.retired -
         state.written_ceiling;
}

// Tokens that no live router can grant any more. Tokens lost with a previous
// incarnation may have been spent, so they count as spent permanently.
// Running requests count with their maximum, here and on other routers.
// Otherwise callers would get a retryable error and retry in vain for tokens
// that can never be granted.
core::Tokens AllocationLedger::Unavailable(const AccountState& state) {
  return state.others_committed + state.others_retired + state.retired +
         InUse(state);
}

// Tokens that are neither spent nor lost with a previous incarnation:
// unclaimed, or claimed by a live router.
core::Tokens AllocationLedger::Spendable(const AccountState& state) {
  return ClampToZero(ClampToZero(Free(state)) + state.written_ceiling -
                     InUse(state) + state.others_unspent);
}

void AllocationLedger::OnConfiguration(const Configuration& configuration) {
  std::unordered_set<core::AccountId> listed;
  for (const Account& account : configuration.accounts) {
    listed.insert(account.name);
    m_accounts[account.name].total = account.prepaid;
  }
  for (auto& [account, state] : m_accounts) {
    if (!listed.contains(account)) {
      state.total.reset();
    }
  }
}

void AllocationLedger::OnPredecessor(const v1::RouterBeat& beat,
                                     bool reserve_untouched) {
  m_history.Restore({beat.losses(), beat.outages()});
  for (const v1::AccountClaim& claim : beat.claims()) {
    AccountState& state = m_accounts[core::AccountId(claim.account())];
    const int64_t untouched = reserve_untouched ? claim.reserve() : 0;
    state.retired = core::Tokens(claim.retired() + claim.ceiling() - untouched);
    state.retired_spent = core::Tokens(claim.retired_spent() + claim.spent());
    state.lost_at_restart =
        core::Tokens(claim.ceiling() - untouched - claim.spent());
  }
}

// Claims of other routers count in full, granted or not; if a claim was granted
// only in part, its router's next record corrects it. Until then the tokens
// left are underestimated, never overestimated.
void AllocationLedger::OnPeerHeartbeat(const core::RouterId& router,
                                       const v1::RouterBeat& beat,
                                       core::TimePoint now) {
  m_peer_histories[router] = {beat.losses(), beat.outages()};
  for (const v1::AccountClaim& claim : beat.claims()) {
    AccountState& state = m_accounts[core::AccountId(claim.account())];
    PeerClaim& other = state.others[router];
    const core::Tokens spent_now(claim.spent());
    if (other.epoch == beat.epoch() && spent_now > other.ceiling_spent) {
      state.fleet_demand.Add(spent_now - other.ceiling_spent, now);
    }
    const core::Tokens committed_now(
        std::max(claim.spent(), claim.committed()));
    state.others_claimed -= other.claimed;
    state.others_unspent -= other.unspent;
    state.others_committed -= other.committed;
    state.others_lost -= other.lost;
    state.others_retired -= other.retired;
    other.claimed = core::Tokens(claim.retired() + claim.ceiling());
    other.unspent = core::Tokens(claim.ceiling()) - committed_now;
    other.ceiling_spent = spent_now;
    other.committed = committed_now;
    other.lost = core::Tokens(claim.retired() - claim.retired_spent());
    state.others_lost += other.lost;
    other.retired = core::Tokens(claim.retired());
    state.others_retired += other.retired;
    other.epoch = beat.epoch();
    state.others_claimed += other.claimed;
    state.others_unspent += other.unspent;
    state.others_committed += other.committed;
  }
}

void AllocationLedger::OnOwnHeartbeat(const v1::RouterBeat& beat) {
  for (const v1::AccountClaim& claim : beat.claims()) {
    AccountState& state = m_accounts[core::AccountId(claim.account())];
    while (!state.pending.empty() &&
           state.pending.front().sequence <= beat.sequence()) {
      state.pending.pop_front();
    }
    if (!state.total) {
      continue;
    }
    const core::Tokens available =
        *state.total - state.others_claimed - state.retired;
    const core::Tokens granted = std::min(
        {core::Tokens(claim.ceiling()), available, LowestPendingClaim(state)});
    // Tokens in use were granted before and cannot be revoked.
    state.ceiling = std::max(state.ceiling, granted);
  }
}

// The lowest of the claims written after the one just read is binding, even if
// a later one is higher: others may already have claimed the tokens that it
// returned, depending on its position in the log.
core::Tokens AllocationLedger::LowestPendingClaim(const AccountState& state) {
  core::Tokens least(std::numeric_limits<int64_t>::max());
  for (const PendingClaim& pending : state.pending) {
    least = std::min(least, pending.claim);
  }
  return least;
}

void AllocationLedger::OnDemand(const core::AccountId& account,
                                core::Tokens tokens,
                                core::TimePoint now,
                                uint8_t rank) {
  AccountState& state = m_accounts[account];
  if (!m_first_demand) {
    m_first_demand = now;
  }
  state.own_demand.Add(tokens, now);
  state.ranked.Add(rank, tokens, now);
  state.largest = std::max(state.largest, tokens);
}

ReserveResult AllocationLedger::Reserve(const core::AccountId& account,
                                        core::Tokens tokens,
                                        core::TimePoint now,
                                        uint8_t rank) {
  AccountState& state = m_accounts[account];
  if (!state.total) {
    return ReserveResult::kUnlimited;
  }
  if (!LeavesEnoughForUrgent(state, tokens, rank, now) &&
      Unavailable(state) + tokens <= *state.total) {
    return ReserveResult::kKeptForUrgent;
  }
  if (InUse(state) + tokens <= CurrentSpendLimit(state, now)) {
    state.reserved += tokens;
    return ReserveResult::kReserved;
  }
  if (Unavailable(state) + tokens > *state.total) {
    return ReserveResult::kExhausted;
  }
  RequestTokens(account, tokens);
  return ReserveResult::kAboveCeiling;
}

void AllocationLedger::Settle(const core::AccountId& account,
                              core::Tokens reserved,
                              core::Tokens used,
                              core::TimePoint now) {
  AccountState& state = m_accounts[account];
  state.reserved -= reserved;
  state.spent += used;
  state.fleet_demand.Add(used, now);
}

// A claim that is written and not granted yet has reduced the free tokens
// already. If only the granted ceiling counted, a request that waits for that
// claim would be refused although nobody else has the tokens. While the rest of
// an account is rationed, waiting would only write more claims.
bool AllocationLedger::MayBecomeSpendable(const core::AccountId& account,
                                          core::Tokens tokens) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end() || !found->second.total) {
    return true;
  }
  const AccountState& state = found->second;
  const core::Tokens more =
      state.rationed ? std::min(Free(state), state.ration) : Free(state);
  const core::Tokens claimed =
      state.rationed ? state.ceiling
                     : std::max(state.ceiling, state.written_ceiling);
  return more + claimed - InUse(state) >= tokens;
}

double AllocationLedger::PriorShare() const {
  if (m_context.active) {
    return 1.0 / std::max(m_context.routers, 1U);
  }
  return m_options.standbys_share / std::max(m_context.standbys, 1U);
}

// Callers choose routers at random, but some accounts use only a few routers.
// The requests so far show this once there are more than a few; until then an
// equal share is the better estimate.
double AllocationLedger::OwnShare(const AccountState& state) const {
  return EstimateShare(state, InUse(state), state.others_committed);
}

// Rationing also counts what previous incarnations served. After a power
// failure of all VMs, equal shares would leave tokens unused on the many
// routers that the account's callers never use, while the callers are refused
// elsewhere.
double AllocationLedger::OwnShareOverRestarts(const AccountState& state) const {
  return EstimateShare(
      state, InUse(state) + state.retired_spent,
      state.others_committed + state.others_retired - state.others_lost);
}

double AllocationLedger::EstimateShare(const AccountState& state,
                                       core::Tokens own_use,
                                       core::Tokens others_use) const {
  const auto own = static_cast<double>(own_use.value());
  const auto all = own + static_cast<double>(others_use.value());
  const double prior =
      kPriorRequests * static_cast<double>(state.largest.value());
  const double guess = PriorShare();
  if (all + prior <= 0 || !m_options.own_share) {
    return guess;
  }
  return std::max((own + prior * guess) / (all + prior),
                  kMinShareOfPrior * guess);
}

bool AllocationLedger::IsLearning(core::TimePoint now) const {
  return !m_first_demand || now - *m_first_demand < m_options.learning_period;
}

// Tokens that callers of this router are expected to request within a time.
double AllocationLedger::ExpectedDemand(const AccountState& state,
                                        double seconds,
                                        core::TimePoint now) const {
  return std::max(state.fleet_demand.PerSecond(now) * OwnShare(state) * seconds,
                  state.own_demand.PerSecond(now) * kOwnDemandWeight * seconds);
}

// The target difference between the ceiling and the tokens in use.
core::Tokens AllocationLedger::TargetHeadroom(const AccountState& state,
                                              core::TimePoint now) const {
  const double share = OwnShare(state);
  const core::Tokens spendable = Spendable(state);
  const core::Duration ahead =
      m_context.leaving ? m_options.ahead_when_leaving : m_options.ahead;
  const double seconds =
      std::chrono::duration<double>(ahead).count() * m_hold_factor;
  const double expected = ExpectedDemand(state, seconds, now);
  const auto largest = static_cast<double>(state.largest.value());
  const double spread = m_options.spread * std::sqrt(expected * largest);
  core::Tokens target(static_cast<int64_t>(expected + spread));
  if (IsLearning(now) && !m_context.leaving) {
    target = std::max(
        target,
        Times(spendable, m_hold_factor * m_options.first_share * share));
  }
  target = std::min(
      target, Times(spendable, m_hold_factor * m_options.most_held * share));
  return std::min(std::max(target, state.requested), spendable);
}

// Tokens claimed by previous incarnations of all routers and not known to be
// spent.
core::Tokens AllocationLedger::Lost(const AccountState& state) {
  return state.others_lost + state.retired - state.retired_spent;
}

// After a power failure the claims of the failed routers are lost. Without
// rationing, the remaining tokens are spent at full speed within a few seconds,
// and then callers are refused for the rest of the day. Claiming at a rate
// proportional to the remainder never uses it up at once: every kind of request
// still gets a share, and an operator has time to top up the account. A
// remainder that lasts long enough needs no rationing.
bool AllocationLedger::NeedsRationing(const AccountState& state,
                                      core::TimePoint now) const {
  const core::Tokens rest = Spendable(state);
  const double seconds =
      std::chrono::duration<double>(m_options.scarce_below).count();
  const auto needed = core::Tokens(
      static_cast<int64_t>(state.own_demand.PerSecond(now) * seconds));
  return Lost(state) > Times(rest, m_options.loss_counts) &&
         Times(rest, OwnShareOverRestarts(state)) < needed;
}

void AllocationLedger::AccrueRation(AccountState& state,
                                    core::Duration passed) const {
  const double part = std::chrono::duration<double>(passed) /
                      std::chrono::duration<double>(m_options.spread_rest);
  const double share = OwnShareOverRestarts(state);
  state.ration += Times(Spendable(state), share * std::min(part, 1.0));
  // Accumulates enough for one large request and no more.
  const core::Tokens most = std::max(
      state.largest, Times(Spendable(state), share * m_options.most_held));
  state.ration = std::min(state.ration, most);
}

// A large fleet has hundreds of standbys. A few tokens of every account on each
// of them would cover no request, would be lost if they crash, and would make
// their heartbeats so large that a starting fleet needs a second to read them.
bool AllocationLedger::IsIdleStandby(const AccountState& state) const {
  return !m_context.active && state.largest == core::Tokens(0);
}

core::Tokens AllocationLedger::NextCeiling(const AccountState& state,
                                           core::TimePoint now) const {
  const core::Tokens in_use = InUse(state);
  if (IsIdleStandby(state)) {
    return in_use;
  }
  const core::Tokens target = TargetHeadroom(state, now);
  const core::Tokens unused = state.ceiling - in_use;
  if (unused > Times(target, m_options.lower_above)) {
    return in_use + target;
  }
  if (unused >= Times(target, m_options.raise_below)) {
    return state.ceiling;
  }
  const core::Tokens free =
      ClampToZero(Free(state) + state.written_ceiling - state.ceiling);
  const double share =
      std::max(1.0 / std::max(m_context.routers, 1U), kMinShareOfFree);
  core::Tokens fair =
      std::max(Times(free, share), std::min(free, state.requested));
  if (state.rationed) {
    fair = std::min(fair, state.ration);
  }
  return std::max(state.ceiling,
                  std::min(in_use + target, state.ceiling + fair));
}

void AllocationLedger::WriteClaims(v1::RouterBeat& beat,
                                   const ClaimContext& context,
                                   core::TimePoint now) {
  m_context = context;
  UpdateHistory(beat);
  const core::Duration passed =
      m_last_claims ? now - *m_last_claims : m_options.spread_rest / 2;
  m_last_claims = now;
  for (auto& [account, state] : m_accounts) {
    core::Tokens next = state.ceiling;
    if (state.total) {
      state.rationed = NeedsRationing(state, now);
      AccrueRation(state, passed);
    }
    if (context.closing) {
      next = InUse(state);
    } else if (state.total) {
      next = NextCeiling(state, now);
    }
    state.ration =
        ClampToZero(state.ration - ClampToZero(next - state.ceiling));
    state.written_ceiling = next;
    state.ceiling = std::min(state.ceiling, next);
    const bool claims_nothing =
        next == core::Tokens(0) && state.retired == core::Tokens(0);
    // Other routers keep the last claim they read, so an account that was once
    // written is written again, even if its claim is now 0.
    if (claims_nothing && !state.written) {
      state.requested = core::Tokens(0);
      continue;
    }
    state.written = true;
    state.pending.push_back({beat.sequence(), next});
    v1::AccountClaim* claim = beat.add_claims();
    claim->set_account(account.value());
    claim->set_ceiling(next.value());
    claim->set_spent(std::min(state.spent, next).value());
    claim->set_committed(std::min(InUse(state), next).value());
    claim->set_retired(state.retired.value());
    claim->set_retired_spent(state.retired_spent.value());
    WriteReserve(state, next, beat, *claim, now);
  }
}

AllocationLedger::Figures AllocationLedger::FiguresOf(
    const core::AccountId& account) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return {};
  }
  const AccountState& state = found->second;
  Figures figures;
  figures.total = state.total;
  figures.ceiling = state.ceiling;
  figures.spent = state.spent;
  figures.reserved = state.reserved;
  figures.others = state.others_claimed + state.retired;
  figures.lost = Lost(state);
  if (state.total) {
    figures.free = Free(state);
    figures.rationed = state.rationed;
  }
  return figures;
}

}  // namespace coppervalve::entry
