// What the fold and the peers tell a Book.
#include <algorithm>  // max, min
#include <utility>    // move

#include "coppervalve/budget/book.h"

namespace coppervalve::budget {

namespace {

constexpr core::Tokens kNone{0};

}  // namespace

// ---- The fold --------------------------------------------------------------

void Book::OnGranted(core::TimePoint now,
                     const core::BudgetId& budget,
                     core::Tokens tokens,
                     core::Sequence sequence) {
  Account* account = Find(budget);
  // The same entry can stand in the log twice, and its effect can reach us
  // twice. Counted twice, this router would spend tokens it doesn't hold.
  if (account == nullptr || !account->grant_asked ||
      sequence <= account->last_answer) {
    return;
  }
  account->last_answer = sequence;
  account->holding.granted += tokens;
  if (*account->grant_asked) {
    account->holding.gate_only += tokens;
  }
  m_totals.received += tokens;
  account->grant_asked.reset();
  account->denied = false;
  account->ask_again_at = now + kAskAgainAfter;
  OnReceived(now, *account);
}

void Book::OnDenied(core::TimePoint now,
                    const core::BudgetId& budget,
                    core::Sequence sequence) {
  Account* account = Find(budget);
  if (account == nullptr || !account->grant_asked ||
      sequence <= account->last_answer) {
    return;
  }
  account->last_answer = sequence;
  account->grant_asked.reset();
  account->denied = true;
  account->ask_again_at = now + kAskAgainAfter;
  Wake(*account);
}

void Book::OnReceived(core::TimePoint now, Account& account) {
  KeepCeilingAhead(now, account);
  QueueSizing(account);
  QueueReview(now + kIdleAfter, account);
  Wake(account);
}

void Book::OnSpendFolded(const core::BudgetId& budget, core::Tokens spent) {
  if (Account* account = Find(budget)) {
    account->trail.OnFolded(spent);
  }
}

void Book::OnTransferFolded(core::TimePoint now,
                            const v1::TransferRecorded& transfer) {
  if (transfer.from_incarnation() == m_self.incarnation.value()) {
    m_transfers.OnOutFolded(transfer.transfer_id());
  }
  if (transfer.to_incarnation() == m_self.incarnation.value()) {
    Credit(now, transfer, true);
  }
}

void Book::Credit(core::TimePoint now,
                  const v1::TransferRecorded& transfer,
                  bool folded) {
  const Transfers::Credit credit = m_transfers.OnIn(transfer, folded);
  if (credit == Transfers::Credit::kKnown) {
    return;
  }
  const core::Tokens tokens(transfer.tokens());
  Account& account = Touch(core::BudgetId(transfer.budget()));
  if (folded) {
    account.holding.transferred_in_folded += tokens;
  }
  if (credit == Transfers::Credit::kFolded) {
    return;
  }
  account.holding.transferred_in += tokens;
  m_totals.received += tokens;
  if (!folded) {
    // It precedes every report of spending these tokens: the fold would refuse
    // a spend past the holding.
    v1::Record record;
    *record.mutable_transfer_recorded() = transfer;
    m_records.push_back(std::move(record));
  }
  OnReceived(now, account);
}

void Book::OnWitnessInForce(const std::optional<PeerRef>& peer) {
  m_witnessing.OnInForce(peer);
  WakeAll();
}

void Book::OnWitnessRefused(const PeerRef& peer) {
  m_witnessing.OnRefusedByFold(peer);
  WakeAll();
}

void Book::OnRetired(core::TimePoint now) {
  if (m_retired) {
    return;
  }
  m_retired = true;
  m_retired_at = now;
  WakeAll();
}

bool Book::WantsStandby(const core::BudgetId& budget) const {
  if (m_retired || m_draining || !m_policy.shares ||
      m_accounts.size() >= kMaxStandbyBudgets) {
    return false;
  }
  const std::optional<BalanceView> balance = m_balance(budget);
  return balance && balance->held_by_others > kNone;
}

void Book::OnBalanceChanged(core::TimePoint now, const core::BudgetId& budget) {
  Account* account = Find(budget);
  if (account == nullptr && WantsStandby(budget)) {
    account = &Touch(budget);
  }
  if (account == nullptr) {
    return;
  }
  QueueSizing(*account);
  if (account->unmet > kNone) {
    account->ask_again_at = now;
    Wake(*account);
    return;
  }
  ReturnSurplus(now, *account);
}

void Book::OnFleet(uint32_t active_routers) {
  m_active_routers = std::max(active_routers, 1U);
}

void Book::OnLogState(bool out) {
  if (m_log_out == out) {
    return;
  }
  m_log_out = out;
  WakeAll();
}

// ---- Peers -----------------------------------------------------------------

void Book::ChooseWitness(core::TimePoint now,
                         const std::optional<PeerRef>& peer) {
  // Its own witness would be gone together with it.
  if (m_retired || peer == m_self || !m_witnessing.Choose(peer)) {
    return;
  }
  for (const Account& account : m_accounts) {
    const Holding& holding = account.holding;
    const bool idle = now - account.demand.LastAsked() > kIdleAfter;
    const core::Tokens step =
        idle ? kNone : m_policy.ceiling_step(ViewOf(now, account));
    m_witnessing.Ask(account.id,
                     std::min(holding.Received(), holding.Committed() + step));
  }
}

void Book::OnCeilingAck(core::TimePoint now,
                        const PeerRef& from,
                        const v1::CeilingAck& ack) {
  for (const core::BudgetId& budget : m_witnessing.OnAck(from, ack)) {
    Account& account = *Find(budget);
    KeepCeilingAhead(now, account);
    Wake(account);
  }
}

core::Tokens Book::Giveable(core::TimePoint now, const Account& account) const {
  // Tokens whose arrival isn't folded stay: passed on, they could leave this
  // holding in the log before they came into it.
  const core::Tokens spare =
      account.holding.FoldedSpare() - account.holding.gate_only;
  if (m_retired || !m_policy.shares || spare <= kNone) {
    return kNone;
  }
  const SizingView view = ViewOf(now, account);
  if (view.idle || m_draining) {
    return spare;
  }
  const core::Tokens own = m_policy.ceiling_step(view) + view.unmet;
  return core::Tokens(std::max(spare - own, kNone).value() / 2);
}

void Book::OnTransferAsk(core::TimePoint now,
                         const PeerRef& from,
                         const v1::TransferAsk& ask) {
  Account* account = Find(core::BudgetId(ask.budget()));
  if (account == nullptr) {
    return;
  }
  const core::Tokens wished =
      std::min(core::Tokens(ask.tokens()), GiveableTo(now, *account, from));
  const core::Tokens tokens = std::min(wished, Headroom(*account));
  if (tokens < wished) {
    m_witnessing.Ask(account->id, account->holding.Committed() + wished);
  }
  if (tokens <= kNone) {
    return;
  }
  // Debited first and counted against the ceiling: a message that is lost
  // strands its tokens, and a crash after sending doubles nothing.
  account->holding.transferred_out += tokens;
  m_totals.transferred_out += tokens;
  v1::Record record;
  *record.mutable_transfer_recorded() =
      m_transfers.Start(now, from, account->id, tokens);
  m_records.push_back(std::move(record));
}

core::Tokens Book::GiveableTo(core::TimePoint now,
                              const Account& account,
                              const PeerRef& peer) const {
  // Two routers that each hold too little for any request would refuse both;
  // the smaller id gets the tokens, so they don't travel to and fro.
  if (!HoldsFragment(account) || m_retired || !m_policy.shares) {
    return Giveable(now, account);
  }
  return peer < m_self ? std::max(account.holding.FoldedSpare() -
                                      account.holding.gate_only,
                                  kNone)
                       : kNone;
}

std::optional<v1::TransferAck> Book::OnTransferSend(
    core::TimePoint now,
    const PeerRef& from,
    const v1::TransferSend& send) {
  // A retired incarnation may have made its final report already; the sender's
  // own record moves the tokens.
  if (m_retired || send.tokens() <= 0) {
    return std::nullopt;
  }
  Credit(now, m_transfers.RecordOf(from, send), false);
  v1::TransferAck ack;
  ack.set_transfer_id(send.transfer_id());
  return ack;
}

void Book::OnTransferAck(const PeerRef& from, const v1::TransferAck& ack) {
  m_transfers.OnAck(from, ack.transfer_id());
}

void Book::OnPeerSpares(core::TimePoint now,
                        const PeerRef& peer,
                        const std::vector<v1::Spare>& spares) {
  m_peer_spares.OnHeartbeat(now, peer, spares);
}

}  // namespace coppervalve::budget
