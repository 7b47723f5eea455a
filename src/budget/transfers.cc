#include "coppervalve/budget/transfers.h"

#include <utility>  // move

namespace coppervalve::budget {

Transfers::Transfers(PeerRef self) : m_self(std::move(self)) {}

v1::TransferRecorded Transfers::Start(core::TimePoint now,
                                      const PeerRef& to,
                                      const core::BudgetId& budget,
                                      core::Tokens tokens) {
  const uint64_t id = ++m_last_id;
  OutgoingTransfer out;
  out.message.to = to;
  out.message.send.set_transfer_id(id);
  out.message.send.set_budget(budget.value());
  out.message.send.set_tokens(tokens.value());
  out.next_send = now;
  out.give_up = now + kTransferResendPeriod;
  v1::TransferRecorded record = RecordOf(m_self, out.message.send);
  record.set_to_router(to.router.value());
  record.set_to_incarnation(to.incarnation.value());
  m_outgoing.emplace(id, std::move(out));
  m_pending_outgoing[budget] += tokens;
  return record;
}

std::vector<TransferSendTo> Transfers::TakeSends(core::TimePoint now) {
  std::vector<TransferSendTo> sends;
  for (auto& [id, out] : m_outgoing) {
    if (out.delivered || now < out.next_send || now >= out.give_up) {
      continue;
    }
    out.next_send = now + kTransferResendInterval;
    sends.push_back(out.message);
  }
  return sends;
}

void Transfers::OnAck(const PeerRef& from, uint64_t transfer_id) {
  const auto found = m_outgoing.find(transfer_id);
  if (found != m_outgoing.end() && found->second.message.to == from) {
    found->second.delivered = true;
  }
}

core::Tokens Transfers::PendingOutgoing(const core::BudgetId& budget) const {
  const auto found = m_pending_outgoing.find(budget);
  return found == m_pending_outgoing.end() ? core::Tokens(0) : found->second;
}

void Transfers::OnOutgoingApplied(uint64_t transfer_id) {
  const auto found = m_outgoing.find(transfer_id);
  if (found == m_outgoing.end()) {
    return;
  }
  // The receiver's ledger credits the transfer now, so the message is no longer
  // needed.
  const v1::TransferSend& send = found->second.message.send;
  m_pending_outgoing[core::BudgetId(send.budget())] -=
      core::Tokens(send.tokens());
  m_outgoing.erase(found);
}

Transfers::Credit Transfers::OnIncoming(const v1::TransferRecorded& transfer,
                                        bool applied) {
  const IncomingKey key{core::Incarnation(transfer.from_incarnation()),
                        transfer.transfer_id()};
  // The sender repeats a message until it is acknowledged, and the log delivers
  // the same transfer once more. Crediting it twice would create tokens that no
  // record paid in, so the id is kept for the lifetime of this incarnation.
  const auto [entry, added] = m_incoming.emplace(key, applied);
  if (added) {
    return Credit::kNew;
  }
  if (!applied || entry->second) {
    return Credit::kDuplicate;
  }
  entry->second = true;
  return Credit::kApplied;
}

v1::TransferRecorded Transfers::RecordOf(const PeerRef& from,
                                         const v1::TransferSend& send) const {
  v1::TransferRecorded record;
  record.set_from_router(from.router.value());
  record.set_from_incarnation(from.incarnation.value());
  record.set_to_router(m_self.router.value());
  record.set_to_incarnation(m_self.incarnation.value());
  record.set_transfer_id(send.transfer_id());
  record.set_budget(send.budget());
  record.set_tokens(send.tokens());
  return record;
}

}  // namespace coppervalve::budget
