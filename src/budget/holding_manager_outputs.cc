// HoldingManager: outgoing records and messages, and status.
#include <algorithm>  // max, min
#include <utility>    // move

#include "coppervalve/budget/holding_manager.h"

namespace coppervalve::budget {

namespace {

constexpr core::Tokens kNoTokens{0};
constexpr int64_t kNoCeiling = -1;

}  // namespace

// ---- The log ---------------------------------------------------------------

std::vector<v1::Record> HoldingManager::TakeRecords(core::TimePoint now) {
  if (m_log_unavailable) {
    return {};
  }
  if (m_retired) {
    return TakeFinalRecords(now);
  }
  std::vector<v1::Record> out;
  TakeWitnessRecord(out);
  TakeAllotmentRequests(now, out);
  while (!m_pending_records.empty() && out.size() < kMaxRecordsPerTake) {
    out.push_back(std::move(m_pending_records.front()));
    m_pending_records.pop_front();
  }
  // Incoming transfers are recorded before spend reports, see Credit().
  if (m_pending_records.empty()) {
    TakeSpendReports(now, out);
  }
  return out;
}

void HoldingManager::TakeWitnessRecord(std::vector<v1::Record>& out) {
  const WitnessCeilings* candidate = m_witnesses.ReadyCandidate();
  if (candidate == nullptr || !CandidateCovers(*candidate)) {
    return;
  }
  *out.emplace_back().mutable_witness_chosen() = m_witnesses.RecordCandidate();
}

bool HoldingManager::CandidateCovers(const WitnessCeilings& candidate) {
  bool covers = true;
  for (const Account& account : m_accounts) {
    const core::Tokens committed = account.holding.Committed();
    if (committed <=
        candidate.AcknowledgedCeiling(account.id).value_or(committed)) {
      continue;
    }
    m_witnesses.RequestCeiling(account.id, committed);
    covers = false;
  }
  return covers;
}

void HoldingManager::TakeAllotmentRequests(core::TimePoint now,
                                           std::vector<v1::Record>& out) {
  while (!m_sizing_queue.empty() && out.size() < kMaxRecordsPerTake) {
    Account& account = *m_sizing_queue.front();
    m_sizing_queue.pop_front();
    account.sizing_queued = false;
    if (m_draining && account.unmet == kNoTokens) {
      ReturnAll(account);
      continue;
    }
    const bool can_wait = account.unmet == kNoTokens || account.denied;
    if (account.grant_pending ||
        (can_wait && now < account.next_grant_request_at)) {
      continue;
    }
    GrantRequest ask = m_policy.grant(MakeSizingView(now, account));
    if (m_draining) {
      ask.tokens = std::min(ask.tokens, std::max(ask.minimum, account.unmet));
    }
    if (ask.tokens <= kNoTokens) {
      ReturnFragment(now, account);
      continue;
    }
    account.grant_pending = ask.gate;
    v1::AllotmentRequested* request =
        out.emplace_back().mutable_allotment_requested();
    request->set_budget(account.id.value());
    request->set_tokens(ask.tokens.value());
    request->set_minimum(ask.minimum.value());
    request->set_admission_class(ask.gate ? v1::GATE : v1::INTERACTIVE);
  }
}

void HoldingManager::TakeSpendReports(core::TimePoint now,
                                      std::vector<v1::Record>& out) {
  if (now < m_spend_report_due && !m_draining) {
    return;
  }
  while (!m_spend_queue.empty() && out.size() < kMaxRecordsPerTake) {
    Account& account = *m_spend_queue.front();
    auto report =
        account.spend_reporter.NextReport(account.id, account.holding.spent);
    if (report) {
      *out.emplace_back().mutable_spend_reported() = std::move(*report);
      continue;
    }
    account.spend_queued = false;
    m_spend_queue.pop_front();
  }
  if (m_spend_queue.empty()) {
    m_spend_report_due = now + kSpendReportPeriod;
  }
}

std::vector<v1::Record> HoldingManager::TakeFinalRecords(core::TimePoint now) {
  std::vector<v1::Record> out;
  // From a retired incarnation the ledger accepts only transfers and the final
  // report, which returns the remaining tokens.
  for (v1::Record& record : m_pending_records) {
    if (record.has_transfer_recorded()) {
      out.push_back(std::move(record));
    }
  }
  m_pending_records.clear();
  // Tokens of pending transfers are withheld from the balance, and permanently
  // so if the transfers are recorded before the final report. A short wait
  // avoids this.
  const bool waits = m_transfers.HasPendingOutgoing() &&
                     now - m_retired_at < kFinalReportDelay;
  if (m_finalized || !m_open_reservations.empty() || waits) {
    return out;
  }
  m_finalized = true;
  v1::SpendFinalized* last = out.emplace_back().mutable_spend_finalized();
  last->set_router(m_self.router.value());
  last->set_incarnation(m_self.incarnation.value());
  for (const Account& account : m_accounts) {
    v1::FinalSpend& budget = *last->add_budgets();
    budget =
        account.spend_reporter.FinalReport(account.id, account.holding.spent);
    budget.set_transfers_pending(
        m_transfers.PendingOutgoing(account.id).value());
  }
  return out;
}

// ---- Peers -----------------------------------------------------------------

std::vector<CeilingRaiseTo> HoldingManager::TakeCeilingRaises(
    core::TimePoint now) {
  if (m_retired) {
    return {};
  }
  return m_witnesses.TakeRaises(now);
}

std::vector<TransferAskTo> HoldingManager::TakeTransferAsks(
    core::TimePoint now) {
  std::vector<TransferAskTo> asks;
  if (m_retired || m_draining || !m_policy.redistributes) {
    return asks;
  }
  for (const core::BudgetId& budget : m_waiting) {
    Account& account = *Find(budget);
    if (now < account.next_transfer_ask_at) {
      continue;
    }
    const SizingView view = MakeSizingView(now, account);
    const bool log_helps =
        !m_log_unavailable &&
        (account.grant_pending || m_policy.grant(view).tokens > kNoTokens);
    const auto offer = m_peer_spares.BestOffer(now, budget);
    const bool only_ceiling_binds = view.smallest_unmet <= view.Spare();
    if (only_ceiling_binds || log_helps || !offer) {
      continue;
    }
    const core::Tokens missing =
        std::max(view.unmet - view.Spare(), core::Tokens(1));
    // Also requests this router's part of the amount to keep, so that it
    // doesn't need another transfer every second.
    const core::Tokens ahead(m_policy.keep(view).value() / m_active_routers);
    const core::Tokens wanted = missing + ahead;
    TransferAskTo ask;
    ask.to = offer->peer;
    ask.ask.set_budget(budget.value());
    ask.ask.set_tokens(wanted.value());
    m_peer_spares.Deduct(budget, offer->peer, wanted);
    account.next_transfer_ask_at = now + kTransferRequestInterval;
    asks.push_back(std::move(ask));
  }
  return asks;
}

std::vector<TransferSendTo> HoldingManager::TakeTransferSends(
    core::TimePoint now) {
  return m_transfers.TakeSends(now);
}

std::vector<v1::Spare> HoldingManager::TakeSpares(core::TimePoint now) {
  std::vector<v1::Spare> spares;
  const size_t examined = std::min(m_accounts.size(), kMaxSparesExamined);
  for (size_t i = 0; i < examined && spares.size() < kMaxSparesAdvertised;
       ++i) {
    m_spares_cursor = (m_spares_cursor + 1) % m_accounts.size();
    const Account& account = m_accounts[m_spares_cursor];
    const core::Tokens tokens = Transferable(now, account);
    if (tokens <= kNoTokens) {
      continue;
    }
    v1::Spare& spare = spares.emplace_back();
    spare.set_budget(account.id.value());
    spare.set_tokens(tokens.value());
  }
  return spares;
}

// ---- Queries ----------------------------------------------------------------

const std::optional<PeerRef>& HoldingManager::WitnessInForce() const {
  return m_witnesses.InForce();
}

bool HoldingManager::WitnessRefuses() const {
  return m_witnesses.Refused();
}

v1::BudgetStatus HoldingManager::ToStatus(const Account& account) const {
  const Holding& holding = account.holding;
  const auto limit = m_witnesses.EffectiveCeiling(account.id);
  const auto balance = m_balance(account.id);
  v1::BudgetStatus status;
  status.set_id(account.id.value());
  status.set_held((holding.Spare() + holding.reserved).value());
  status.set_reserved(holding.reserved.value());
  status.set_spent(holding.spent.value());
  status.set_ceiling(limit ? limit->value() : kNoCeiling);
  const auto requested = m_witnesses.LargestRequestedCeiling(account.id);
  status.set_ceiling_requested(requested ? requested->value() : kNoCeiling);
  status.set_free(balance ? balance->free.value() : 0);
  return status;
}

std::optional<v1::BudgetStatus> HoldingManager::StatusOf(
    const core::BudgetId& budget) const {
  const auto found = m_by_id.find(budget);
  if (found == m_by_id.end()) {
    return std::nullopt;
  }
  return ToStatus(*found->second);
}

std::vector<v1::BudgetStatus> HoldingManager::Statuses() const {
  std::vector<v1::BudgetStatus> statuses;
  statuses.reserve(m_accounts.size());
  for (const Account& account : m_accounts) {
    statuses.push_back(ToStatus(account));
  }
  return statuses;
}

core::Status HoldingManager::CheckInvariants() const {
  for (const Account& account : m_accounts) {
    const Holding& holding = account.holding;
    const core::Tokens committed = holding.Committed();
    const auto limit = m_witnesses.EffectiveCeiling(account.id);
    const char* broken = nullptr;
    if (committed > holding.Received()) {
      broken = "committed more than received";
    } else if (limit && committed > *limit) {
      broken = "committed past the ceiling";
    } else if (holding.spent < account.spend_reporter.LastReported()) {
      broken = "spent less than reported";
    } else if (holding.reserved < kNoTokens || holding.gate_only < kNoTokens) {
      broken = "negative amount";
    }
    if (broken != nullptr) {
      return core::Error{core::ErrorId::kConservationBroken, account.id.value(),
                         broken};
    }
  }
  return core::Ok();
}

}  // namespace coppervalve::budget
