// What a Book has to send: records, messages, status.
#include <algorithm>  // max, min
#include <utility>    // move

#include "coppervalve/budget/book.h"

namespace coppervalve::budget {

namespace {

constexpr core::Tokens kNone{0};
constexpr int64_t kNoCeiling = -1;

}  // namespace

// ---- The log ---------------------------------------------------------------

std::vector<v1::Record> Book::TakeRecords(core::TimePoint now) {
  if (m_log_out) {
    return {};
  }
  if (m_retired) {
    return TakeFinalRecords(now);
  }
  std::vector<v1::Record> out;
  TakeWitnessRecord(out);
  TakeAllotmentRequests(now, out);
  while (!m_records.empty() && out.size() < kMaxRecordsPerTake) {
    out.push_back(std::move(m_records.front()));
    m_records.pop_front();
  }
  // Transfers that came in go first, see Credit().
  if (m_records.empty()) {
    TakeSpendReports(now, out);
  }
  return out;
}

void Book::TakeWitnessRecord(std::vector<v1::Record>& out) {
  const CeilingLink* candidate = m_witnessing.ReadyCandidate();
  if (candidate == nullptr || !CandidateCovers(*candidate)) {
    return;
  }
  *out.emplace_back().mutable_witness_chosen() = m_witnessing.RecordCandidate();
}

bool Book::CandidateCovers(const CeilingLink& candidate) {
  bool covers = true;
  for (const Account& account : m_accounts) {
    const core::Tokens committed = account.holding.Committed();
    if (committed <= candidate.Acked(account.id).value_or(committed)) {
      continue;
    }
    m_witnessing.Ask(account.id, committed);
    covers = false;
  }
  return covers;
}

void Book::TakeAllotmentRequests(core::TimePoint now,
                                 std::vector<v1::Record>& out) {
  while (!m_sizing.empty() && out.size() < kMaxRecordsPerTake) {
    Account& account = *m_sizing.front();
    m_sizing.pop_front();
    account.sizing_queued = false;
    if (m_draining && account.unmet == kNone) {
      ReturnAll(account);
      continue;
    }
    const bool can_wait = account.unmet == kNone || account.denied;
    if (account.grant_asked || (can_wait && now < account.ask_again_at)) {
      continue;
    }
    GrantAsk ask = m_policy.grant(ViewOf(now, account));
    if (m_draining) {
      ask.tokens = std::min(ask.tokens, std::max(ask.minimum, account.unmet));
    }
    if (ask.tokens <= kNone) {
      ReturnFragment(now, account);
      continue;
    }
    account.grant_asked = ask.gate;
    v1::AllotmentRequested* request =
        out.emplace_back().mutable_allotment_requested();
    request->set_budget(account.id.value());
    request->set_tokens(ask.tokens.value());
    request->set_minimum(ask.minimum.value());
    request->set_admission_class(ask.gate ? v1::GATE : v1::INTERACTIVE);
  }
}

void Book::TakeSpendReports(core::TimePoint now, std::vector<v1::Record>& out) {
  if (now < m_spend_due && !m_draining) {
    return;
  }
  while (!m_spend.empty() && out.size() < kMaxRecordsPerTake) {
    Account& account = *m_spend.front();
    auto report = account.trail.NextReport(account.id, account.holding.spent);
    if (report) {
      *out.emplace_back().mutable_spend_reported() = std::move(*report);
      continue;
    }
    account.spend_queued = false;
    m_spend.pop_front();
  }
  if (m_spend.empty()) {
    m_spend_due = now + kSpendReportEvery;
  }
}

std::vector<v1::Record> Book::TakeFinalRecords(core::TimePoint now) {
  std::vector<v1::Record> out;
  // Of a retired incarnation the fold takes only transfers and the final
  // report, which returns the rest.
  for (v1::Record& record : m_records) {
    if (record.has_transfer_recorded()) {
      out.push_back(std::move(record));
    }
  }
  m_records.clear();
  // Transfers that are still pending are withheld from the balance, and for
  // good if they are recorded before the final report: worth a short wait.
  const bool waits =
      m_transfers.AnyPendingOut() && now - m_retired_at < kFinalReportAfter;
  if (m_finalized || !m_open.empty() || waits) {
    return out;
  }
  m_finalized = true;
  v1::SpendFinalized* last = out.emplace_back().mutable_spend_finalized();
  last->set_router(m_self.router.value());
  last->set_incarnation(m_self.incarnation.value());
  for (const Account& account : m_accounts) {
    v1::FinalSpend& budget = *last->add_budgets();
    budget = account.trail.Final(account.id, account.holding.spent);
    budget.set_transfers_pending(m_transfers.PendingOut(account.id).value());
  }
  return out;
}

// ---- Peers -----------------------------------------------------------------

std::vector<CeilingRaiseTo> Book::TakeCeilingRaises(core::TimePoint now) {
  if (m_retired) {
    return {};
  }
  return m_witnessing.TakeRaises(now);
}

std::vector<TransferAskTo> Book::TakeTransferAsks(core::TimePoint now) {
  std::vector<TransferAskTo> asks;
  if (m_retired || m_draining || !m_policy.shares) {
    return asks;
  }
  for (const core::BudgetId& budget : m_hungry) {
    Account& account = *Find(budget);
    if (now < account.transfer_ask_at) {
      continue;
    }
    const SizingView view = ViewOf(now, account);
    const bool log_helps = !m_log_out && (account.grant_asked ||
                                          m_policy.grant(view).tokens > kNone);
    const auto offer = m_peer_spares.Best(now, budget);
    const bool only_ceiling_binds = view.smallest_unmet <= view.Spare();
    if (only_ceiling_binds || log_helps || !offer) {
      continue;
    }
    const core::Tokens missing =
        std::max(view.unmet - view.Spare(), core::Tokens(1));
    // Its part of what it would keep, so that it need not ask every second.
    const core::Tokens ahead(m_policy.keep(view).value() / m_active_routers);
    const core::Tokens wished = missing + ahead;
    TransferAskTo ask;
    ask.to = offer->peer;
    ask.ask.set_budget(budget.value());
    ask.ask.set_tokens(wished.value());
    m_peer_spares.Use(budget, offer->peer, wished);
    account.transfer_ask_at = now + kTransferAskEvery;
    asks.push_back(std::move(ask));
  }
  return asks;
}

std::vector<TransferSendTo> Book::TakeTransferSends(core::TimePoint now) {
  return m_transfers.TakeSends(now);
}

std::vector<v1::Spare> Book::TakeSpares(core::TimePoint now) {
  std::vector<v1::Spare> spares;
  const size_t examined = std::min(m_accounts.size(), kSparesExamined);
  for (size_t i = 0; i < examined && spares.size() < kSparesAdvertised; ++i) {
    m_spares_cursor = (m_spares_cursor + 1) % m_accounts.size();
    const Account& account = m_accounts[m_spares_cursor];
    const core::Tokens tokens = Giveable(now, account);
    if (tokens <= kNone) {
      continue;
    }
    v1::Spare& spare = spares.emplace_back();
    spare.set_budget(account.id.value());
    spare.set_tokens(tokens.value());
  }
  return spares;
}

// ---- Reading ---------------------------------------------------------------

const std::optional<PeerRef>& Book::WitnessInForce() const {
  return m_witnessing.InForce();
}

bool Book::WitnessRefuses() const {
  return m_witnessing.Refused();
}

v1::BudgetStatus Book::ToStatus(const Account& account) const {
  const Holding& holding = account.holding;
  const auto limit = m_witnessing.Limit(account.id);
  const auto balance = m_balance(account.id);
  v1::BudgetStatus status;
  status.set_id(account.id.value());
  status.set_held((holding.Spare() + holding.reserved).value());
  status.set_reserved(holding.reserved.value());
  status.set_spent(holding.spent.value());
  status.set_ceiling(limit ? limit->value() : kNoCeiling);
  status.set_free(balance ? balance->free.value() : 0);
  return status;
}

std::optional<v1::BudgetStatus> Book::StatusOf(
    const core::BudgetId& budget) const {
  const auto found = m_by_id.find(budget);
  if (found == m_by_id.end()) {
    return std::nullopt;
  }
  return ToStatus(*found->second);
}

std::vector<v1::BudgetStatus> Book::Statuses() const {
  std::vector<v1::BudgetStatus> statuses;
  statuses.reserve(m_accounts.size());
  for (const Account& account : m_accounts) {
    statuses.push_back(ToStatus(account));
  }
  return statuses;
}

core::Status Book::CheckInvariants() const {
  for (const Account& account : m_accounts) {
    const Holding& holding = account.holding;
    const core::Tokens committed = holding.Committed();
    const auto limit = m_witnessing.Limit(account.id);
    const char* broken = nullptr;
    if (committed > holding.Received()) {
      broken = "committed more than received";
    } else if (limit && committed > *limit) {
      broken = "committed past the ceiling";
    } else if (holding.spent < account.trail.Reported()) {
      broken = "spent less than reported";
    } else if (holding.reserved < kNone || holding.gate_only < kNone) {
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
