#include "coppervalve/entry/allotment_book.h"

#include <algorithm>      // min, max
#include <cmath>          // sqrt
#include <limits>         // numeric_limits
#include <unordered_set>  // unordered_set

namespace coppervalve::entry {

namespace {

constexpr double kLeastShareOfFree = 0.25;
// Own demand is a small sample of the fleet's demand. It takes full effect only
// where it far exceeds this router's equal share.
constexpr double kOwnWeight = 0.5;
constexpr double kPriorRequests = 12;
// Leaves something for the first requests of an account that only other routers
// have served so far.
constexpr double kLeastShareOfEven = 0.1;

core::Tokens Times(core::Tokens tokens, double factor) {
  return core::Tokens(
      static_cast<int64_t>(static_cast<double>(tokens.value()) * factor));
}

core::Tokens NotNegative(core::Tokens tokens) {
  return std::max(tokens, core::Tokens(0));
}

}  // namespace

core::Tokens AllotmentBook::InUse(const Entry& entry) {
  return entry.spent + entry.reserved;
}

// Tokens that no router has claimed. Negative while claims race.
core::Tokens AllotmentBook::Free(const Entry& entry) {
  return *entry.total - entry.others_claimed - entry.retired - entry.asked;
}

// Tokens that no live router can grant any more. Tokens lost with a previous
// incarnation may have been spent, so they count as spent permanently. Running
// requests count with their maximum, here and on other routers. Otherwise
// callers would be told to retry for tokens that they can never get.
core::Tokens AllotmentBook::Unavailable(const Entry& entry) {
  return entry.others_committed + entry.others_retired + entry.retired +
         InUse(entry);
}

// Tokens that are neither spent nor lost with a previous incarnation:
// unclaimed, or claimed by a live router.
core::Tokens AllotmentBook::Spendable(const Entry& entry) {
  return NotNegative(NotNegative(Free(entry)) + entry.asked - InUse(entry) +
                     entry.others_unspent);
}

void AllotmentBook::OnConfiguration(const Configuration& configuration) {
  std::unordered_set<core::AccountId> listed;
  for (const Account& account : configuration.accounts) {
    listed.insert(account.name);
    m_entries[account.name].total = account.prepaid;
  }
  for (auto& [account, entry] : m_entries) {
    if (!listed.contains(account)) {
      entry.total.reset();
    }
  }
}

void AllotmentBook::OnPredecessor(const v1::RouterBeat& beat, bool held_back) {
  m_past.Continue({beat.losses(), beat.outages()});
  for (const v1::AccountClaim& claim : beat.claims()) {
    Entry& entry = m_entries[core::AccountId(claim.account())];
    const int64_t untouched = held_back ? claim.reserve() : 0;
    entry.retired = core::Tokens(claim.retired() + claim.ceiling() - untouched);
    entry.retired_spent = core::Tokens(claim.retired_spent() + claim.spent());
    entry.just_lost = core::Tokens(claim.ceiling() - untouched - claim.spent());
  }
}

// Claims of other routers count in full, granted or not; if a claim was granted
// only in part, its router's next record corrects it. Until then the tokens
// left are underestimated, never overestimated.
void AllotmentBook::OnOtherBeat(const core::RouterId& router,
                                const v1::RouterBeat& beat,
                                core::TimePoint now) {
  m_others_past[router] = {beat.losses(), beat.outages()};
  for (const v1::AccountClaim& claim : beat.claims()) {
    Entry& entry = m_entries[core::AccountId(claim.account())];
    OtherClaim& other = entry.others[router];
    const core::Tokens spent_now(claim.spent());
    if (other.epoch == beat.epoch() && spent_now > other.ceiling_spent) {
      entry.fleet_demand.Add(spent_now - other.ceiling_spent, now);
    }
    const core::Tokens committed_now(
        std::max(claim.spent(), claim.committed()));
    entry.others_claimed -= other.claimed;
    entry.others_unspent -= other.unspent;
    entry.others_committed -= other.committed;
    entry.others_lost -= other.lost;
    entry.others_retired -= other.retired;
    other.claimed = core::Tokens(claim.retired() + claim.ceiling());
    other.unspent = core::Tokens(claim.ceiling()) - committed_now;
    other.ceiling_spent = spent_now;
    other.committed = committed_now;
    other.lost = core::Tokens(claim.retired() - claim.retired_spent());
    entry.others_lost += other.lost;
    other.retired = core::Tokens(claim.retired());
    entry.others_retired += other.retired;
    other.epoch = beat.epoch();
    entry.others_claimed += other.claimed;
    entry.others_unspent += other.unspent;
    entry.others_committed += other.committed;
  }
}

void AllotmentBook::OnOwnBeat(const v1::RouterBeat& beat) {
  for (const v1::AccountClaim& claim : beat.claims()) {
    Entry& entry = m_entries[core::AccountId(claim.account())];
    while (!entry.pending.empty() &&
           entry.pending.front().sequence <= beat.sequence()) {
      entry.pending.pop_front();
    }
    if (!entry.total) {
      continue;
    }
    const core::Tokens available =
        *entry.total - entry.others_claimed - entry.retired;
    const core::Tokens granted = std::min(
        {core::Tokens(claim.ceiling()), available, LeastPending(entry)});
    // Tokens in use were granted before and cannot be revoked.
    entry.ceiling = std::max(entry.ceiling, granted);
  }
}

// The lowest of the claims written after the one just read is binding, even if
// a later one is higher: others may already have claimed the tokens that it
// returned, depending on its position in the log.
core::Tokens AllotmentBook::LeastPending(const Entry& entry) {
  core::Tokens least(std::numeric_limits<int64_t>::max());
  for (const Pending& pending : entry.pending) {
    least = std::min(least, pending.claim);
  }
  return least;
}

void AllotmentBook::OnDemand(const core::AccountId& account,
                             core::Tokens tokens,
                             core::TimePoint now,
                             uint8_t rank) {
  Entry& entry = m_entries[account];
  if (!m_first_demand) {
    m_first_demand = now;
  }
  entry.own_demand.Add(tokens, now);
  entry.ranked.Add(rank, tokens, now);
  entry.largest = std::max(entry.largest, tokens);
}

Reservation AllotmentBook::Reserve(const core::AccountId& account,
                                   core::Tokens tokens,
                                   core::TimePoint now,
                                   uint8_t rank) {
  Entry& entry = m_entries[account];
  if (!entry.total) {
    return Reservation::kUnlimited;
  }
  if (!LeavesEnough(entry, tokens, rank, now) &&
      Unavailable(entry) + tokens <= *entry.total) {
    return Reservation::kLeftToUrgent;
  }
  if (InUse(entry) + tokens <= Limit(entry, now)) {
    entry.reserved += tokens;
    return Reservation::kHeld;
  }
  if (Unavailable(entry) + tokens > *entry.total) {
    return Reservation::kExhausted;
  }
  Want(account, tokens);
  return Reservation::kShort;
}

void AllotmentBook::Settle(const core::AccountId& account,
                           core::Tokens reserved,
                           core::Tokens used,
                           core::TimePoint now) {
  Entry& entry = m_entries[account];
  entry.reserved -= reserved;
  entry.spent += used;
  entry.fleet_demand.Add(used, now);
}

bool AllotmentBook::MayBeCovered(const core::AccountId& account,
                                 core::Tokens tokens) const {
  const auto found = m_entries.find(account);
  if (found == m_entries.end() || !found->second.total) {
    return true;
  }
  const Entry& entry = found->second;
  const core::Tokens more =
      entry.must_last ? std::min(Free(entry), entry.paced) : Free(entry);
  return more + entry.ceiling - InUse(entry) >= tokens;
}

double AllotmentBook::GuessedShare() const {
  if (m_context.active) {
    return 1.0 / std::max(m_context.routers, 1U);
  }
  return m_options.standbys_share / std::max(m_context.standbys, 1U);
}

// Callers choose routers at random, but some accounts use only a few routers.
// The requests so far show this once there are more than a few; until then an
// equal share is the better estimate.
double AllotmentBook::OwnShare(const Entry& entry) const {
  return ShareOf(entry, InUse(entry), entry.others_committed);
}

// Rationing also counts what previous incarnations served. After a power
// failure of all VMs, equal shares would leave tokens unused on the many
// routers that the account's callers never use, while the callers are refused
// elsewhere.
double AllotmentBook::ShareOverAllStarts(const Entry& entry) const {
  return ShareOf(
      entry, InUse(entry) + entry.retired_spent,
      entry.others_committed + entry.others_retired - entry.others_lost);
}

double AllotmentBook::ShareOf(const Entry& entry,
                              core::Tokens own_use,
                              core::Tokens others_use) const {
  const auto own = static_cast<double>(own_use.value());
  const auto all = own + static_cast<double>(others_use.value());
  const double prior =
      kPriorRequests * static_cast<double>(entry.largest.value());
  const double guess = GuessedShare();
  if (all + prior <= 0 || !m_options.own_share) {
    return guess;
  }
  return std::max((own + prior * guess) / (all + prior),
                  kLeastShareOfEven * guess);
}

bool AllotmentBook::Learning(core::TimePoint now) const {
  return !m_first_demand || now - *m_first_demand < m_options.learning;
}

// Tokens that callers of this router are expected to request within a time.
double AllotmentBook::ExpectedIn(const Entry& entry,
                                 double seconds,
                                 core::TimePoint now) const {
  return std::max(entry.fleet_demand.PerSecond(now) * OwnShare(entry) * seconds,
                  entry.own_demand.PerSecond(now) * kOwnWeight * seconds);
}

// The target difference between the ceiling and the tokens in use.
core::Tokens AllotmentBook::Aim(const Entry& entry, core::TimePoint now) const {
  const double share = OwnShare(entry);
  const core::Tokens spendable = Spendable(entry);
  const core::Duration ahead =
      m_context.leaving ? m_options.ahead_leaving : m_options.ahead;
  const double seconds = std::chrono::duration<double>(ahead).count() * m_hold;
  const double expected = ExpectedIn(entry, seconds, now);
  const auto largest = static_cast<double>(entry.largest.value());
  const double spread = m_options.spread * std::sqrt(expected * largest);
  core::Tokens aim(static_cast<int64_t>(expected + spread));
  if (Learning(now) && !m_context.leaving) {
    aim =
        std::max(aim, Times(spendable, m_hold * m_options.first_share * share));
  }
  aim = std::min(aim, Times(spendable, m_hold * m_options.most_held * share));
  return std::min(std::max(aim, entry.wanted), spendable);
}

// Tokens claimed by previous incarnations of all routers and not known to be
// spent.
core::Tokens AllotmentBook::Lost(const Entry& entry) {
  return entry.others_lost + entry.retired - entry.retired_spent;
}

// After a power failure the claims of the failed routers are lost. Without
// rationing, the remaining tokens are spent at full speed within a few seconds,
// and then callers are refused for the rest of the day. Claiming at a rate
// proportional to the remainder never uses it up at once: every kind of request
// still gets a share, and an operator has time to top up the account. A
// remainder that lasts long enough needs no rationing.
bool AllotmentBook::MustLast(const Entry& entry, core::TimePoint now) const {
  const core::Tokens rest = Spendable(entry);
  const double seconds =
      std::chrono::duration<double>(m_options.scarce_below).count();
  const auto needed = core::Tokens(
      static_cast<int64_t>(entry.own_demand.PerSecond(now) * seconds));
  return Lost(entry) > Times(rest, m_options.loss_counts) &&
         Times(rest, ShareOverAllStarts(entry)) < needed;
}

void AllotmentBook::Pace(Entry& entry, core::Duration passed) const {
  const double part = std::chrono::duration<double>(passed) /
                      std::chrono::duration<double>(m_options.spread_rest);
  const double share = ShareOverAllStarts(entry);
  entry.paced += Times(Spendable(entry), share * std::min(part, 1.0));
  // Accumulates enough for one large request and no more.
  const core::Tokens most = std::max(
      entry.largest, Times(Spendable(entry), share * m_options.most_held));
  entry.paced = std::min(entry.paced, most);
}

// A large fleet has hundreds of standbys. A few tokens of every account on each
// of them would cover no request, would be lost if they crash, and would make
// their heartbeats so large that a starting fleet needs a second to read them.
bool AllotmentBook::StandsByWithoutCallers(const Entry& entry) const {
  return !m_context.active && entry.largest == core::Tokens(0);
}

core::Tokens AllotmentBook::NextCeiling(const Entry& entry,
                                        core::TimePoint now) const {
  const core::Tokens in_use = InUse(entry);
  if (StandsByWithoutCallers(entry)) {
    return in_use;
  }
  const core::Tokens aim = Aim(entry, now);
  const core::Tokens have = entry.ceiling - in_use;
  if (have > Times(aim, m_options.lower_above)) {
    return in_use + aim;
  }
  if (have >= Times(aim, m_options.raise_below)) {
    return entry.ceiling;
  }
  const core::Tokens free =
      NotNegative(Free(entry) + entry.asked - entry.ceiling);
  const double share =
      std::max(1.0 / std::max(m_context.routers, 1U), kLeastShareOfFree);
  core::Tokens fair =
      std::max(Times(free, share), std::min(free, entry.wanted));
  if (entry.must_last) {
    fair = std::min(fair, entry.paced);
  }
  return std::max(entry.ceiling, std::min(in_use + aim, entry.ceiling + fair));
}

void AllotmentBook::WriteClaims(v1::RouterBeat& beat,
                                const ClaimContext& context,
                                core::TimePoint now) {
  m_context = context;
  RecallPast(beat);
  const core::Duration passed =
      m_last_claims ? now - *m_last_claims : m_options.spread_rest / 2;
  m_last_claims = now;
  for (auto& [account, entry] : m_entries) {
    core::Tokens next = entry.ceiling;
    if (entry.total) {
      entry.must_last = MustLast(entry, now);
      Pace(entry, passed);
    }
    if (context.closing) {
      next = InUse(entry);
    } else if (entry.total) {
      next = NextCeiling(entry, now);
    }
    entry.paced = NotNegative(entry.paced - NotNegative(next - entry.ceiling));
    entry.asked = next;
    entry.ceiling = std::min(entry.ceiling, next);
    const bool claims_nothing =
        next == core::Tokens(0) && entry.retired == core::Tokens(0);
    // Other routers keep the last claim they read, so an account that was once
    // written is written again, even if its claim is now 0.
    if (claims_nothing && !entry.stated) {
      entry.wanted = core::Tokens(0);
      continue;
    }
    entry.stated = true;
    entry.pending.push_back({beat.sequence(), next});
    v1::AccountClaim* claim = beat.add_claims();
    claim->set_account(account.value());
    claim->set_ceiling(next.value());
    claim->set_spent(std::min(entry.spent, next).value());
    claim->set_committed(std::min(InUse(entry), next).value());
    claim->set_retired(entry.retired.value());
    claim->set_retired_spent(entry.retired_spent.value());
    StateReserve(entry, next, beat, *claim, now);
  }
}

AllotmentBook::Figures AllotmentBook::FiguresOf(
    const core::AccountId& account) const {
  const auto found = m_entries.find(account);
  if (found == m_entries.end()) {
    return {};
  }
  const Entry& entry = found->second;
  Figures figures;
  figures.total = entry.total;
  figures.ceiling = entry.ceiling;
  figures.spent = entry.spent;
  figures.reserved = entry.reserved;
  figures.others = entry.others_claimed + entry.retired;
  figures.lost = Lost(entry);
  if (entry.total) {
    figures.free = Free(entry);
    figures.paced = entry.must_last;
  }
  return figures;
}

}  // namespace coppervalve::entry
