#include "coppervalve/budget/holding_manager.h"

#include <algorithm>  // clamp, max, min
#include <string>     // to_string
#include <utility>    // exchange, move

namespace coppervalve::budget {

namespace {

constexpr core::Tokens kNoTokens{0};

core::Error Refusal(core::ErrorId id,
                    const core::BudgetId& budget,
                    core::Tokens bound) {
  return {id, budget.value(), "needs " + std::to_string(bound.value())};
}

}  // namespace

HoldingManager::HoldingManager(PeerRef self,
                               SizingPolicy policy,
                               BalanceLookup balance)
    : m_self(self),
      m_policy(std::move(policy)),
      m_balance(std::move(balance)),
      m_transfers(std::move(self)) {}

// ---- Accounts --------------------------------------------------------------

HoldingManager::Account& HoldingManager::FindOrCreate(
    const core::BudgetId& budget) {
  if (Account* known = Find(budget)) {
    return *known;
  }
  Account& account = m_accounts.emplace_back(budget);
  m_by_id.emplace(budget, &account);
  ++m_totals.budgets;
  return account;
}

HoldingManager::Account* HoldingManager::Find(const core::BudgetId& budget) {
  const auto found = m_by_id.find(budget);
  return found == m_by_id.end() ? nullptr : found->second;
}

SizingView HoldingManager::MakeSizingView(core::TimePoint now,
                                          const Account& account) const {
  SizingView view;
  view.balance = m_balance(account.id).value_or(BalanceView{});
  view.active_routers = m_active_routers;
  view.demand_per_second = account.demand.PerSecond(now);
  view.largest_bound = account.demand.LargestBound();
  view.received = account.holding.Received();
  view.committed = account.holding.Committed();
  view.unmet = account.unmet;
  view.smallest_unmet = account.smallest_unmet;
  view.gate_waits = account.gate_waits;
  view.gate_only = account.holding.gate_only;
  view.idle = now - account.demand.LastRequestAt() > kIdleTimeout;
  view.log_unavailable = m_log_unavailable;
  return view;
}

/// Tokens that can still be committed within both the holding and the ceilings.
core::Tokens HoldingManager::Headroom(const Account& account) const {
  const core::Tokens received = account.holding.Received();
  const core::Tokens limit =
      m_witnesses.EffectiveCeiling(account.id).value_or(received);
  return std::min(received, limit) - account.holding.Committed();
}

/// Spare tokens that a class may reserve, regardless of ceilings.
core::Tokens HoldingManager::SpareFor(const Account& account, bool gate) {
  const Holding& holding = account.holding;
  return gate ? holding.Spare() : holding.Spare() - holding.gate_only;
}

// ---- Requests --------------------------------------------------------------

ReserveResult HoldingManager::Reserve(core::TimePoint now,
                                      const core::BudgetId& budget,
                                      core::Tokens upper_bound,
                                      v1::AdmissionClass admission_class) {
  const core::Tokens bound = std::max(upper_bound, kNoTokens);
  if (m_retired) {
    return Refusal(core::ErrorId::kRetiredInLog, budget, bound);
  }
  if (Find(budget) == nullptr && !m_balance(budget)) {
    return Refusal(core::ErrorId::kUnknownBudget, budget, bound);
  }
  Account& account = FindOrCreate(budget);
  account.demand.RecordBound(now, bound);
  QueueSizing(account);
  QueueReview(now + kIdleTimeout, account);

  const bool gate = admission_class == v1::GATE;
  if (bound <= Headroom(account) && bound <= SpareFor(account, gate)) {
    const Reservation reservation = Commit(account, bound, gate);
    RaiseCeilingIfLow(now, account);
    return reservation;
  }
  AddUnmet(account, bound, gate);
  RaiseCeilingIfLow(now, account);
  const WaitOrError why = ExplainShortage(now, account, bound, gate);
  if (const auto* wait = std::get_if<Wait>(&why)) {
    return *wait;
  }
  return std::get<core::Error>(why);
}

Reservation HoldingManager::Commit(Account& account,
                                   core::Tokens bound,
                                   bool gate) {
  Holding& holding = account.holding;
  const core::Tokens gate_part =
      gate ? std::min(bound, holding.gate_only) : kNoTokens;
  holding.gate_only -= gate_part;
  holding.reserved += bound;
  m_totals.reserved += bound;
  const ReservationId id(++m_last_reservation);
  m_open_reservations.emplace(id, OpenReservation{&account, bound, gate_part});
  m_totals.open_reservations = m_open_reservations.size();
  return {id, bound};
}

void HoldingManager::AddUnmet(Account& account, core::Tokens bound, bool gate) {
  account.smallest_unmet = account.unmet == kNoTokens
                               ? bound
                               : std::min(account.smallest_unmet, bound);
  account.unmet += bound;
  account.gate_waits = account.gate_waits || gate;
  m_waiting.insert(account.id);
}

HoldingManager::WaitOrError HoldingManager::ExplainShortage(
    core::TimePoint now,
    const Account& account,
    core::Tokens bound,
    bool gate) const {
  const core::Tokens spare = SpareFor(account, gate);
  if (bound <= spare) {
    return Wait{WaitReason::kCeiling};
  }
  const SizingView view = MakeSizingView(now, account);
  const bool grant_possible =
      account.grant_pending || m_policy.grant(view).tokens > kNoTokens;
  if (!m_log_unavailable && grant_possible) {
    return Wait{WaitReason::kGrant};
  }
  // Requests reserve upper bounds and settle for less. Near exhaustion most of
  // the missing tokens are released within seconds, so a refusal would be
  // wrong.
  const core::Tokens here = spare + account.holding.reserved;
  if (bound <= here) {
    return Wait{WaitReason::kSettlement};
  }
  core::Tokens elsewhere;
  if (m_policy.redistributes) {
    elsewhere = m_peer_spares.TotalOffered(now, account.id);
  }
  if (m_log_unavailable) {
    return bound <= here + elsewhere
               ? WaitOrError(Wait{WaitReason::kTransfer})
               : Refusal(core::ErrorId::kBudgetBusy, account.id, bound);
  }
  // Other routers return tokens that they don't need when the balance is low,
  // and transfer them on request. The budget is exhausted for this request only
  // when all of these together are too few.
  if (m_policy.redistributes) {
    const BalanceView& balance = view.balance;
    elsewhere = std::max(elsewhere, balance.held_by_others) + balance.free -
                (gate ? kNoTokens : balance.gate_held_back);
  }
  return bound <= here + elsewhere
             ? WaitOrError(Wait{WaitReason::kTransfer})
             : Refusal(core::ErrorId::kBudgetExhausted, account.id, bound);
}

std::optional<HoldingManager::OpenReservation>
HoldingManager::RemoveOpenReservation(const Reservation& reservation) {
  const auto found = m_open_reservations.find(reservation.id);
  if (found == m_open_reservations.end()) {
    return std::nullopt;
  }
  const OpenReservation open = found->second;
  m_open_reservations.erase(found);
  open.account->holding.reserved -= open.bound;
  m_totals.reserved -= open.bound;
  m_totals.open_reservations = m_open_reservations.size();
  return open;
}

std::optional<Settlement> HoldingManager::Settle(core::TimePoint now,
                                                 const Reservation& reservation,
                                                 core::Tokens spent,
                                                 const Charge& charge) {
  const std::optional<OpenReservation> open =
      RemoveOpenReservation(reservation);
  if (!open) {
    return std::nullopt;
  }
  Account& account = *open->account;
  Holding& holding = account.holding;
  const core::Tokens used = std::max(spent, kNoTokens);
  // If the upstream exceeded its bound, at most the tokens held are charged,
  // because charging the excess would overspend the budget. The caller gets the
  // excess as `uncovered`, because hiding it would hide the fault.
  const core::Tokens charged = std::min(used, Headroom(account));
  holding.spent += charged;
  m_totals.spent += charged;
  holding.gate_only += std::max(open->gate_part - charged, kNoTokens);
  account.demand.Add(now, charged);
  account.spend_reporter.Add(charge, charged);
  QueueSpend(account);
  AfterRelease(now, account);
  return Settlement{charged, used - charged};
}

bool HoldingManager::Cancel(core::TimePoint now,
                            const Reservation& reservation) {
  const std::optional<OpenReservation> open =
      RemoveOpenReservation(reservation);
  if (!open) {
    return false;
  }
  open->account->holding.gate_only += open->gate_part;
  AfterRelease(now, *open->account);
  return true;
}

void HoldingManager::AfterRelease(core::TimePoint now, Account& account) {
  Holding& holding = account.holding;
  holding.gate_only = std::clamp(holding.gate_only, kNoTokens, holding.Spare());
  QueueSizing(account);
  RaiseCeilingIfLow(now, account);
  WakeWaiters(account);
}

// ---- Maintenance ------------------------------------------------------------

/// Requests a higher ceiling when at most half a step is left, so that the
/// raise is acknowledged before requests need it.
void HoldingManager::RaiseCeilingIfLow(core::TimePoint now, Account& account) {
  const std::optional<core::Tokens> requested =
      m_witnesses.RequestedCeiling(account.id);
  if (m_retired || !requested) {
    return;
  }
  const SizingView view = MakeSizingView(now, account);
  const core::Tokens step = m_policy.ceiling_step(view);
  const core::Tokens ahead = *requested - view.committed;
  if (account.unmet <= ahead && ahead > core::Tokens(step.value() / 2)) {
    return;
  }
  m_witnesses.RequestCeiling(
      account.id,
      std::min(view.received, view.committed + account.unmet + step));
}

void HoldingManager::WakeWaiters(Account& account) {
  if (m_waiting.erase(account.id) == 0) {
    return;
  }
  account.unmet = kNoTokens;
  account.smallest_unmet = kNoTokens;
  account.gate_waits = false;
  m_woken.push_back(account.id);
}

std::vector<core::BudgetId> HoldingManager::TakeWokenBudgets() {
  return std::exchange(m_woken, {});
}

void HoldingManager::WakeAllWaiters() {
  const std::set<core::BudgetId> waiting = m_waiting;
  for (const core::BudgetId& budget : waiting) {
    WakeWaiters(*Find(budget));
  }
}

void HoldingManager::QueueSizing(Account& account) {
  if (!account.sizing_queued) {
    account.sizing_queued = true;
    m_sizing_queue.push_back(&account);
  }
}

void HoldingManager::QueueSpend(Account& account) {
  if (!account.spend_queued) {
    account.spend_queued = true;
    m_spend_queue.push_back(&account);
  }
}

void HoldingManager::QueueReview(core::TimePoint at, Account& account) {
  if (!account.review_queued) {
    account.review_queued = true;
    m_reviews.emplace(at, &account);
  }
}

void HoldingManager::OnTick(core::TimePoint now) {
  while (!m_reviews.empty() && m_reviews.begin()->first <= now) {
    Account& account = *m_reviews.begin()->second;
    m_reviews.erase(m_reviews.begin());
    account.review_queued = false;
    ReturnSurplus(now, account);
    const bool active = now - account.demand.LastRequestAt() <= kIdleTimeout;
    if (active || m_log_unavailable) {
      QueueReview(now + kIdleTimeout, account);
    }
  }
  // Offers and holdings of peers change without an event here. Without this
  // retry, requests that wait for them would stay queued until their queue time
  // ends.
  if (now >= m_retry_due) {
    m_retry_due = now + kRetryInterval;
    WakeAllWaiters();
  }
}

void HoldingManager::ReturnSurplus(core::TimePoint now, Account& account) {
  if (m_retired || m_log_unavailable || !m_policy.redistributes ||
      now < account.next_return_at) {
    return;
  }
  const core::Tokens spare = account.holding.Spare();
  if (spare <= kNoTokens) {
    return;
  }
  // Returns tokens only when the spare exceeds twice the amount to keep. Below
  // that, returning tokens and requesting them again would only fill the log.
  const core::Tokens keep = m_policy.keep(MakeSizingView(now, account));
  if (spare - keep <= keep) {
    return;
  }
  account.next_return_at = now + kReturnInterval;
  Return(account, spare - keep);
}

void HoldingManager::Return(Account& account, core::Tokens tokens) {
  // Debits the tokens before the record exists. In the reverse order, a request
  // in between could spend tokens that the log grants to another router.
  Holding& holding = account.holding;
  holding.returned += tokens;
  holding.gate_only = std::min(holding.gate_only, holding.Spare());
  m_totals.received -= tokens;
  v1::Record record;
  record.mutable_allotment_returned()->set_budget(account.id.value());
  record.mutable_allotment_returned()->set_tokens(tokens.value());
  m_pending_records.push_back(std::move(record));
}

bool HoldingManager::HoldsFragment(const Account& account) {
  const Holding& holding = account.holding;
  return account.unmet > kNoTokens &&
         account.smallest_unmet > holding.Spare() + holding.reserved;
}

/// Near the end of a budget each router may hold fewer tokens than any of its
/// requests needs. If kept, these fragments would add up to work that is
/// refused; from the balance, they can be granted to the next request that they
/// suffice for.
void HoldingManager::ReturnFragment(core::TimePoint now, Account& account) {
  if (!m_policy.redistributes || !HoldsFragment(account) ||
      now < account.next_return_at) {
    return;
  }
  account.next_return_at = now + kReturnInterval;
  ReturnAll(account);
}

void HoldingManager::ReturnAll(Account& account) {
  const core::Tokens spare = account.holding.Spare();
  if (spare > kNoTokens) {
    Return(account, spare);
  }
}

void HoldingManager::StartDrain(core::TimePoint now) {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_spend_report_due = now;
  for (Account& account : m_accounts) {
    QueueSizing(account);
  }
}

}  // namespace coppervalve::budget
