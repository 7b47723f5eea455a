// HoldingManager: events from the ledger and messages from peers.
#include <algorithm>  // max, min
#include <utility>    // move

#include "coppervalve/budget/holding_manager.h"

namespace coppervalve::budget {

namespace {

constexpr core::Tokens kNoTokens{0};

}  // namespace

// ---- Ledger -----------------------------------------------------------------

void HoldingManager::OnGranted(core::TimePoint now,
                               const core::BudgetId& budget,
                               core::Tokens tokens,
                               core::Sequence sequence) {
  Account* account = Find(budget);
  // The log can contain the same entry twice, so its effect can be delivered
  // twice. If it were counted twice, this router would spend tokens that it
  // doesn't hold.
  if (account == nullptr || !account->grant_pending ||
      sequence <= account->last_answer_sequence) {
    return;
  }
  account->last_answer_sequence = sequence;
  account->holding.granted += tokens;
  if (*account->grant_pending) {
    account->holding.gate_only += tokens;
  }
  m_totals.received += tokens;
  account->grant_pending.reset();
  account->denied = false;
  account->next_grant_request_at = now + kGrantRequestInterval;
  OnReceived(now, *account);
}

void HoldingManager::OnDenied(core::TimePoint now,
                              const core::BudgetId& budget,
                              core::Sequence sequence) {
  Account* account = Find(budget);
  if (account == nullptr || !account->grant_pending ||
      sequence <= account->last_answer_sequence) {
    return;
  }
  account->last_answer_sequence = sequence;
  account->grant_pending.reset();
  account->denied = true;
  account->next_grant_request_at = now + kGrantRequestInterval;
  WakeWaiters(*account);
}

void HoldingManager::OnReceived(core::TimePoint now, Account& account) {
  RaiseCeilingIfLow(now, account);
  QueueSizing(account);
  QueueReview(now + kIdleTimeout, account);
  WakeWaiters(account);
}

void HoldingManager::OnSpendApplied(const core::BudgetId& budget,
                                    core::Tokens spent) {
  if (Account* account = Find(budget)) {
    account->spend_reporter.OnReportApplied(spent);
  }
}

void HoldingManager::OnTransferApplied(core::TimePoint now,
                                       const v1::TransferRecorded& transfer) {
  if (transfer.from_incarnation() == m_self.incarnation.value()) {
    m_transfers.OnOutgoingApplied(transfer.transfer_id());
  }
  if (transfer.to_incarnation() == m_self.incarnation.value()) {
    Credit(now, transfer, true);
  }
}

void HoldingManager::Credit(core::TimePoint now,
                            const v1::TransferRecorded& transfer,
                            bool applied) {
  const Transfers::Credit credit = m_transfers.OnIncoming(transfer, applied);
  if (credit == Transfers::Credit::kDuplicate) {
    return;
  }
  const core::Tokens tokens(transfer.tokens());
  Account& account = FindOrCreate(core::BudgetId(transfer.budget()));
  if (applied) {
    account.holding.transferred_in_applied += tokens;
  }
  if (credit == Transfers::Credit::kApplied) {
    return;
  }
  account.holding.transferred_in += tokens;
  m_totals.received += tokens;
  if (!applied) {
    // Must precede every report that spends these tokens, because the ledger
    // refuses a spend that exceeds the holding.
    v1::Record record;
    *record.mutable_transfer_recorded() = transfer;
    m_pending_records.push_back(std::move(record));
  }
  OnReceived(now, account);
}

void HoldingManager::OnWitnessInForce(const std::optional<PeerRef>& peer) {
  m_witnesses.OnInForce(peer);
  WakeAllWaiters();
}

void HoldingManager::OnWitnessRefused(const PeerRef& peer) {
  m_witnesses.OnRefused(peer);
  WakeAllWaiters();
}

void HoldingManager::OnRetired(core::TimePoint now) {
  if (m_retired) {
    return;
  }
  m_retired = true;
  m_retired_at = now;
  WakeAllWaiters();
}

bool HoldingManager::WantsStandby(const core::BudgetId& budget) const {
  if (m_retired || m_draining || !m_policy.redistributes ||
      m_accounts.size() >= kMaxStandbyBudgets) {
    return false;
  }
  const std::optional<BalanceView> balance = m_balance(budget);
  return balance && balance->held_by_others > kNoTokens;
}

void HoldingManager::OnBalanceChanged(core::TimePoint now,
                                      const core::BudgetId& budget) {
  Account* account = Find(budget);
  if (account == nullptr && WantsStandby(budget)) {
    account = &FindOrCreate(budget);
  }
  if (account == nullptr) {
    return;
  }
  QueueSizing(*account);
  if (account->unmet > kNoTokens) {
    account->next_grant_request_at = now;
    WakeWaiters(*account);
    return;
  }
  ReturnSurplus(now, *account);
}

void HoldingManager::OnActiveRouters(uint32_t active_routers) {
  m_active_routers = std::max(active_routers, 1U);
}

void HoldingManager::OnLogState(bool unavailable) {
  if (m_log_unavailable == unavailable) {
    return;
  }
  m_log_unavailable = unavailable;
  WakeAllWaiters();
}

// ---- Peers -----------------------------------------------------------------

void HoldingManager::ChooseWitness(core::TimePoint now,
                                   const std::optional<PeerRef>& peer) {
  // A router is never its own witness, because both would fail together.
  if (m_retired || peer == m_self || !m_witnesses.StartChange(peer)) {
    return;
  }
  for (const Account& account : m_accounts) {
    const Holding& holding = account.holding;
    const bool idle = now - account.demand.LastRequestAt() > kIdleTimeout;
    const core::Tokens step =
        idle ? kNoTokens : m_policy.ceiling_step(MakeSizingView(now, account));
    m_witnesses.RequestCeiling(
        account.id, std::min(holding.Received(), holding.Committed() + step));
  }
}

void HoldingManager::OnCeilingAck(core::TimePoint now,
                                  const PeerRef& from,
                                  const v1::CeilingAck& ack) {
  for (const core::BudgetId& budget : m_witnesses.OnAck(from, ack)) {
    Account& account = *Find(budget);
    RaiseCeilingIfLow(now, account);
    WakeWaiters(account);
  }
}

core::Tokens HoldingManager::Transferable(core::TimePoint now,
                                          const Account& account) const {
  // Tokens whose arrival is not applied by the ledger stay here. If passed on,
  // they could leave this holding in the log before they enter it.
  const core::Tokens spare =
      account.holding.AppliedSpare() - account.holding.gate_only;
  if (m_retired || !m_policy.redistributes || spare <= kNoTokens) {
    return kNoTokens;
  }
  const SizingView view = MakeSizingView(now, account);
  if (view.idle || m_draining) {
    return spare;
  }
  const core::Tokens own = m_policy.ceiling_step(view) + view.unmet;
  return core::Tokens(std::max(spare - own, kNoTokens).value() / 2);
}

void HoldingManager::OnTransferAsk(core::TimePoint now,
                                   const PeerRef& from,
                                   const v1::TransferAsk& ask) {
  Account* account = Find(core::BudgetId(ask.budget()));
  if (account == nullptr) {
    return;
  }
  const core::Tokens wanted =
      std::min(core::Tokens(ask.tokens()), TransferableTo(now, *account, from));
  const core::Tokens tokens = std::min(wanted, Headroom(*account));
  if (tokens < wanted) {
    m_witnesses.RequestCeiling(account->id,
                               account->holding.Committed() + wanted);
  }
  if (tokens <= kNoTokens) {
    return;
  }
  // Debits the tokens and counts them against the ceiling before sending. A
  // lost message then only strands its tokens, and a crash after sending
  // duplicates none.
  account->holding.transferred_out += tokens;
  m_totals.transferred_out += tokens;
  v1::Record record;
  *record.mutable_transfer_recorded() =
      m_transfers.Start(now, from, account->id, tokens);
  m_pending_records.push_back(std::move(record));
}

core::Tokens HoldingManager::TransferableTo(core::TimePoint now,
                                            const Account& account,
                                            const PeerRef& peer) const {
  // If two routers each hold too little for any request, both would refuse. The
  // router with the smaller id gets the tokens, so that they do not move back
  // and forth.
  if (!HoldsFragment(account) || m_retired || !m_policy.redistributes) {
    return Transferable(now, account);
  }
  return peer < m_self ? std::max(account.holding.AppliedSpare() -
                                      account.holding.gate_only,
                                  kNoTokens)
                       : kNoTokens;
}

std::optional<v1::TransferAck> HoldingManager::OnTransferSend(
    core::TimePoint now,
    const PeerRef& from,
    const v1::TransferSend& send) {
  // A retired incarnation may already have sent its final report. The sender's
  // own record in the log moves the tokens.
  if (m_retired || send.tokens() <= 0) {
    return std::nullopt;
  }
  Credit(now, m_transfers.RecordOf(from, send), false);
  v1::TransferAck ack;
  ack.set_transfer_id(send.transfer_id());
  return ack;
}

void HoldingManager::OnTransferAck(const PeerRef& from,
                                   const v1::TransferAck& ack) {
  m_transfers.OnAck(from, ack.transfer_id());
}

void HoldingManager::OnPeerSpares(core::TimePoint now,
                                  const PeerRef& peer,
                                  const std::vector<v1::Spare>& spares) {
  m_peer_spares.OnHeartbeat(now, peer, spares);
}

}  // namespace coppervalve::budget
