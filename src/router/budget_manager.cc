#include "coppervalve/router/detail/budget_manager.h"

#include <algorithm>  // all_of
#include <utility>    // move
#include <variant>    // get_if, holds_alternative, visit

namespace coppervalve::router::detail {

using budget::PeerRef;
using core::TimePoint;
using core::Tokens;
using logclient::Urgency;

namespace {

constexpr core::Duration kWitnessReviewInterval =
    std::chrono::milliseconds(250);

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
// Some compilers need this guide to deduce the arguments of an aggregate.
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

PeerRef SenderOf(const v1::PeerMessage& message) {
  return {core::RouterId(message.from_router()),
          core::Incarnation(message.from_incarnation())};
}

// Allotment requests are urgent because callers' requests wait for the tokens;
// other records may wait for the next batch.
Urgency UrgencyOf(const v1::Record& record) {
  return record.has_allotment_requested() ? Urgency::kUrgent
                                          : Urgency::kRoutine;
}

Tokens SumOf(const v1::QuarantineNarrowed& narrowed) {
  Tokens sum;
  for (const v1::Ceiling& ceiling : narrowed.ceilings()) {
    sum += Tokens(ceiling.tokens());
  }
  return sum;
}

bool WasIgnored(const std::vector<ledger::Effect>& effects) {
  return effects.size() == 1 &&
         std::holds_alternative<ledger::EntryIgnored>(effects.front());
}

}  // namespace

BudgetManager::BudgetManager(const RouterSettings& settings,
                             core::Incarnation incarnation,
                             LogAccess& log,
                             PeerManager& peers,
                             Outbox& outbox)
    : m_self{settings.router, incarnation},
      m_log(log),
      m_peers(peers),
      m_outbox(outbox),
      m_holding_manager(
          m_self,
          settings.sizing,
          [this](const core::BudgetId& budget) { return BalanceOf(budget); }) {}

bool BudgetManager::IsSelf(const core::RouterId& router,
                           core::Incarnation incarnation) const {
  return router == m_self.router && incarnation == m_self.incarnation;
}

std::optional<budget::BalanceView> BudgetManager::BalanceOf(
    const core::BudgetId& id) const {
  const ledger::Budget* budget = m_log.fold().FindBudget(id);
  if (budget == nullptr) {
    return std::nullopt;
  }
  const ledger::Holding* own = m_log.fold().FindHolding(m_self.incarnation, id);
  const Tokens own_held = own == nullptr ? Tokens(0) : own->held();
  budget::BalanceView view;
  view.free = budget->free;
  view.paid_in = budget->paid_in;
  view.gate_held_back = budget->free - budget->Available(v1::BATCH);
  view.held_by_others = budget->held - budget->quarantined - own_held;
  view.quarantined = budget->quarantined;
  return view;
}

void BudgetManager::OnFolded(TimePoint now,
                             const v1::Entry& entry,
                             const std::vector<ledger::Effect>& effects) {
  for (const ledger::Effect& effect : effects) {
    OnEffect(now, effect);
  }
  const bool own = IsSelf(core::RouterId(entry.writer()),
                          core::Incarnation(entry.incarnation()));
  if (own && !WasIgnored(effects)) {
    OnOwnEntry(entry, effects);
  }
}

void BudgetManager::OnEffect(TimePoint now, const ledger::Effect& effect) {
  const Overloaded cases{
      [&](const ledger::Granted& e) {
        if (IsSelf(e.router, e.incarnation)) {
          m_holding_manager.OnGranted(now, e.budget, e.tokens, e.sequence);
        }
        m_holding_manager.OnBalanceChanged(now, e.budget);
      },
      [&](const ledger::Denied& e) {
        if (IsSelf(e.router, e.incarnation)) {
          m_holding_manager.OnDenied(now, e.budget, e.sequence);
        }
      },
      [&](const ledger::PaidIn& e) {
        m_holding_manager.OnBalanceChanged(now, e.budget);
      },
      [&](const ledger::Returned& e) {
        m_holding_manager.OnBalanceChanged(now, e.budget);
      },
      [&](const ledger::QuarantineChanged& e) {
        m_holding_manager.OnBalanceChanged(now, e.budget);
      },
      [&](const ledger::Retired& e) { OnRetired(now, e); },
      [&](const ledger::WitnessInForce& e) {
        if (!IsSelf(e.router, e.incarnation)) {
          return;
        }
        std::optional<PeerRef> witness;
        if (!e.witness.empty()) {
          witness = PeerRef{e.witness, e.witness_incarnation};
        }
        m_holding_manager.OnWitnessInForce(witness);
      },
      [&](const ledger::WitnessRefused& e) {
        if (IsSelf(e.router, e.incarnation)) {
          m_holding_manager.OnWitnessRefused(
              {e.witness, e.witness_incarnation});
        }
      },
      [&](const ledger::TransferApplied& e) {
        v1::TransferRecorded transfer;
        transfer.set_from_router(e.from.value());
        transfer.set_from_incarnation(e.from_incarnation.value());
        transfer.set_to_router(e.to.value());
        transfer.set_to_incarnation(e.to_incarnation.value());
        transfer.set_transfer_id(e.transfer_id);
        transfer.set_budget(e.budget.value());
        transfer.set_tokens(e.tokens.value());
        if (IsSelf(e.from, e.from_incarnation) ||
            IsSelf(e.to, e.to_incarnation)) {
          m_holding_manager.OnTransferApplied(now, transfer);
        }
      },
      [](const auto&) {},
  };
  std::visit(cases, effect);
}

// One line for all budgets: a router may hold tokens of very many.
void BudgetManager::LogQuarantineChanges(
    const std::vector<ledger::Effect>& effects) {
  Tokens released;
  Tokens remaining;
  size_t budgets = 0;
  std::string router;
  for (const ledger::Effect& effect : effects) {
    const auto* changed = std::get_if<ledger::QuarantineChanged>(&effect);
    if (changed == nullptr) {
      continue;
    }
    router = changed->router.value();
    released += changed->released;
    remaining += changed->remaining;
    ++budgets;
  }
  if (budgets > 0) {
    m_outbox.Info("quarantine_changed",
                  {{"router", router},
                   {"budgets", std::to_string(budgets)},
                   {"released", std::to_string(released.value())},
                   {"remaining", std::to_string(remaining.value())}});
  }
}

void BudgetManager::OnOwnEntry(const v1::Entry& entry,
                               const std::vector<ledger::Effect>& effects) {
  LogQuarantineChanges(effects);
  for (const v1::Record& record : entry.records()) {
    if (!record.has_spend_reported()) {
      continue;
    }
    const v1::SpendReported& report = record.spend_reported();
    m_holding_manager.OnSpendApplied(core::BudgetId(report.budget()),
                                     Tokens(report.spent()));
  }
}

void BudgetManager::OnRetired(TimePoint now, const ledger::Retired& retired) {
  const PeerRef peer{retired.router, retired.incarnation};
  if (peer == m_self) {
    m_holding_manager.OnRetired(now);
    return;
  }
  // Close before the report: a raise that arrived in between would let the
  // retired router commit tokens that the report has just returned to the
  // balance.
  m_ceiling_store.Close(peer);
  if (!IsWitnessOf(peer)) {
    return;
  }
  const bool known = m_ceiling_store.QuarantineNarrowedFor(peer).has_value();
  if (!known) {
    LogNotReported(peer, "the full list never arrived");
    return;
  }
  m_unreported.push_back(peer);
  ReportCeilings();
}

void BudgetManager::LogNotReported(const PeerRef& retired,
                                   const std::string& why) {
  m_outbox.Warn("ceilings_not_reported",
                {{"router", retired.router.value()}, {"why", why}});
}

bool BudgetManager::IsWitnessOf(const PeerRef& retired) const {
  const ledger::Member* member =
      m_log.fold().FindMember(retired.router, retired.incarnation);
  return member != nullptr && member->witness == m_self.router &&
         member->witness_incarnation == m_self.incarnation;
}

// A report that found the backlog full is tried again. Without it, the tokens
// above the ceilings would stay out of use until an operator releases them.
void BudgetManager::ReportCeilings() {
  while (!m_unreported.empty()) {
    const PeerRef retired = m_unreported.back();
    if (m_holding_manager.Retired()) {
      // The ledger accepts no report from a retired witness.
      LogNotReported(retired, "the witness is retired itself");
      m_unreported.pop_back();
      continue;
    }
    const v1::QuarantineNarrowed narrowed =
        *m_ceiling_store.QuarantineNarrowedFor(retired);
    v1::Record record;
    *record.mutable_quarantine_narrowed() = narrowed;
    if (!core::IsOk(m_log.Add(std::move(record), Urgency::kUrgent))) {
      return;
    }
    m_ceiling_store.ForgetCeilings(retired);
    m_unreported.pop_back();
    m_outbox.Info("ceilings_reported",
                  {{"router", retired.router.value()},
                   {"budgets", std::to_string(narrowed.ceilings_size())},
                   {"tokens", std::to_string(SumOf(narrowed).value())}});
  }
}

bool BudgetManager::OnPeerMessage(TimePoint now,
                                  const v1::PeerMessage& message) {
  const PeerRef from = SenderOf(message);
  v1::PeerMessage reply;
  switch (message.body_case()) {
    case v1::PeerMessage::kCeilingRaise:
      *reply.mutable_ceiling_ack() =
          m_ceiling_store.OnCeilingRaise(from, message.ceiling_raise());
      m_peers.Send(now, from, std::move(reply));
      return true;
    case v1::PeerMessage::kCeilingAck:
      m_holding_manager.OnCeilingAck(now, from, message.ceiling_ack());
      return true;
    case v1::PeerMessage::kTransferAsk:
      m_holding_manager.OnTransferAsk(now, from, message.transfer_ask());
      return true;
    case v1::PeerMessage::kTransferSend: {
      const auto ack =
          m_holding_manager.OnTransferSend(now, from, message.transfer_send());
      if (ack.has_value()) {
        *reply.mutable_transfer_ack() = *ack;
        m_peers.Send(now, from, std::move(reply));
      }
      return true;
    }
    case v1::PeerMessage::kTransferAck:
      m_holding_manager.OnTransferAck(from, message.transfer_ack());
      return true;
    default:
      return false;
  }
}

void BudgetManager::ReviewWitness(TimePoint now) {
  if (m_holding_manager.Retired() ||
      (m_witness_reviewed.has_value() &&
       now - *m_witness_reviewed < kWitnessReviewInterval)) {
    return;
  }
  m_witness_reviewed = now;
  const auto verdict =
      m_peers.EvaluateWitness(now, m_holding_manager.WitnessInForce());
  if (const auto* choose = std::get_if<membership::ChooseWitness>(&verdict)) {
    m_holding_manager.ChooseWitness(
        now, PeerRef{choose->witness.router, choose->witness.incarnation});
  }
  if (std::holds_alternative<membership::ChooseNoWitness>(verdict)) {
    m_holding_manager.ChooseWitness(now, std::nullopt);
  }
}

void BudgetManager::Tick(TimePoint now) {
  m_holding_manager.OnLogState(m_log.IsUnavailable(now));
  m_holding_manager.OnActiveRouters(
      static_cast<uint32_t>(m_peers.view().live_members()));
  m_holding_manager.OnTick(now);
}

void BudgetManager::Send(TimePoint now) {
  ReportCeilings();
  SendRecords(now);
  SendMessages(now);
}

// A record taken from the holdings exists nowhere else, so records are taken
// only if the backlog has room for all of them.
void BudgetManager::SendRecords(TimePoint now) {
  if (!m_log.HasRoomFor(budget::kMaxRecordsPerTake)) {
    return;
  }
  for (v1::Record& record : m_holding_manager.TakeRecords(now)) {
    const Urgency urgency = UrgencyOf(record);
    m_log.Add(std::move(record), urgency);
  }
}

void BudgetManager::SendMessages(TimePoint now) {
  for (const budget::CeilingRaiseTo& raise :
       m_holding_manager.TakeCeilingRaises(now)) {
    v1::PeerMessage message;
    *message.mutable_ceiling_raise() = raise.raise;
    m_peers.Send(now, raise.to, std::move(message));
  }
  for (const budget::TransferAskTo& ask :
       m_holding_manager.TakeTransferAsks(now)) {
    v1::PeerMessage message;
    *message.mutable_transfer_ask() = ask.ask;
    m_peers.Send(now, ask.to, std::move(message));
  }
  for (const budget::TransferSendTo& send :
       m_holding_manager.TakeTransferSends(now)) {
    v1::PeerMessage message;
    *message.mutable_transfer_send() = send.send;
    m_peers.Send(now, send.to, std::move(message));
  }
}

bool BudgetManager::HoldingsReturned() const {
  const ledger::Member* self =
      m_log.fold().FindMember(m_self.router, m_self.incarnation);
  if (self == nullptr) {
    return true;
  }
  return std::all_of(
      self->holdings.begin(), self->holdings.end(),
      [](const auto& entry) { return entry.second.held() == Tokens(0); });
}

}  // namespace coppervalve::router::detail
