#include "coppervalve/budget/witness_desk.h"

#include <algorithm>  // max, sort
#include <vector>     // vector

namespace coppervalve::budget {

v1::CeilingAck WitnessDesk::OnCeilingRaise(const PeerRef& from,
                                           const v1::CeilingRaise& raise) {
  v1::CeilingAck ack;
  ack.set_serial(raise.serial());
  Ward& ward = m_wards[from.incarnation];
  // A raise acknowledged after the statement was made would let a router that
  // was only paused commit tokens that the fold has given back to the balance:
  // the budget would be overspent. Refusing for ever needs no clock.
  if (ward.closed || !TakeNames(raise, ward)) {
    ack.set_refused(true);
    return ack;
  }
  ward.complete = ward.complete || raise.full();
  // A raise that overtook a later one must not lower what that one was
  // acknowledged for.
  for (const v1::PeerCeiling& ceiling : raise.ceilings()) {
    core::Tokens& kept = ward.ceilings[ward.names.at(ceiling.number())];
    kept = std::max(kept, core::Tokens(ceiling.tokens()));
  }
  return ack;
}

// A number without a known name can't be kept. Acknowledged all the same, the
// peer would commit tokens that the statement after its death leaves out.
bool WitnessDesk::TakeNames(const v1::CeilingRaise& raise, Ward& ward) {
  for (const v1::PeerCeiling& ceiling : raise.ceilings()) {
    if (!ceiling.budget().empty()) {
      ward.names[ceiling.number()] = core::BudgetId(ceiling.budget());
    }
    if (!ward.names.contains(ceiling.number())) {
      return false;
    }
  }
  return true;
}

void WitnessDesk::Close(const PeerRef& peer) {
  m_wards[peer.incarnation].closed = true;
}

std::optional<v1::QuarantineNarrowed> WitnessDesk::StatementFor(
    const PeerRef& peer) const {
  const auto found = m_wards.find(peer.incarnation);
  if (found == m_wards.end()) {
    return std::nullopt;
  }
  // Without the full list a missing budget would read as ceiling 0, and its
  // tokens would go back although they may be spent.
  const Ward& ward = found->second;
  if (!ward.closed || !ward.complete) {
    return std::nullopt;
  }
  v1::QuarantineNarrowed statement;
  statement.set_router(peer.router.value());
  statement.set_incarnation(peer.incarnation.value());
  std::vector<core::BudgetId> budgets;
  for (const auto& [budget, ceiling] : ward.ceilings) {
    budgets.push_back(budget);
  }
  std::sort(budgets.begin(), budgets.end());
  for (const core::BudgetId& budget : budgets) {
    v1::Ceiling* ceiling = statement.add_ceilings();
    ceiling->set_budget(budget.value());
    ceiling->set_tokens(ward.ceilings.at(budget).value());
  }
  return statement;
}

void WitnessDesk::ForgetCeilings(const PeerRef& peer) {
  Ward& ward = m_wards[peer.incarnation];
  if (!ward.closed) {
    return;
  }
  ward.complete = false;
  ward.ceilings.clear();
  ward.names.clear();
}

}  // namespace coppervalve::budget
