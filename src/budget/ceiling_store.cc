#include "coppervalve/budget/ceiling_store.h"

#include <algorithm>  // max, sort
#include <vector>     // vector

namespace coppervalve::budget {

v1::CeilingAck CeilingStore::OnCeilingRaise(const PeerRef& from,
                                            const v1::CeilingRaise& raise) {
  v1::CeilingAck ack;
  ack.set_serial(raise.serial());
  PeerEntry& entry = m_peers[from.incarnation];
  // If a raise were acknowledged after the ceilings were reported, a router
  // that was only paused could commit tokens that the ledger has returned to
  // the balance, and the budget would be overspent. Refusing permanently needs
  // no clock.
  if (entry.closed || !StoreBudgetNames(raise, entry)) {
    ack.set_refused(true);
    return ack;
  }
  entry.complete = entry.complete || raise.full();
  // A raise that arrives out of order must not lower a ceiling that was already
  // acknowledged.
  for (const v1::PeerCeiling& ceiling : raise.ceilings()) {
    core::Tokens& kept =
        entry.ceilings[entry.budgets_by_number.at(ceiling.number())];
    kept = std::max(kept, core::Tokens(ceiling.tokens()));
  }
  return ack;
}

// A ceiling whose number has no known name can't be stored. If it were
// acknowledged, the peer could commit tokens that the record written after its
// retirement leaves out.
bool CeilingStore::StoreBudgetNames(const v1::CeilingRaise& raise,
                                    PeerEntry& entry) {
  for (const v1::PeerCeiling& ceiling : raise.ceilings()) {
    if (!ceiling.budget().empty()) {
      entry.budgets_by_number[ceiling.number()] =
          core::BudgetId(ceiling.budget());
    }
    if (!entry.budgets_by_number.contains(ceiling.number())) {
      return false;
    }
  }
  return true;
}

void CeilingStore::Close(const PeerRef& peer) {
  m_peers[peer.incarnation].closed = true;
}

std::optional<v1::QuarantineNarrowed> CeilingStore::QuarantineNarrowedFor(
    const PeerRef& peer) const {
  const auto found = m_peers.find(peer.incarnation);
  if (found == m_peers.end()) {
    return std::nullopt;
  }
  // Without the full list, a missing budget would be taken for a ceiling of 0,
  // and its tokens would be returned although they may be spent.
  const PeerEntry& entry = found->second;
  if (!entry.closed || !entry.complete) {
    return std::nullopt;
  }
  v1::QuarantineNarrowed narrowed;
  narrowed.set_router(peer.router.value());
  narrowed.set_incarnation(peer.incarnation.value());
  std::vector<core::BudgetId> budgets;
  for (const auto& [budget, ceiling] : entry.ceilings) {
    budgets.push_back(budget);
  }
  std::sort(budgets.begin(), budgets.end());
  for (const core::BudgetId& budget : budgets) {
    v1::Ceiling* ceiling = narrowed.add_ceilings();
    ceiling->set_budget(budget.value());
    ceiling->set_tokens(entry.ceilings.at(budget).value());
  }
  return narrowed;
}

void CeilingStore::ForgetCeilings(const PeerRef& peer) {
  PeerEntry& entry = m_peers[peer.incarnation];
  if (!entry.closed) {
    return;
  }
  entry.complete = false;
  entry.ceilings.clear();
  entry.budgets_by_number.clear();
}

}  // namespace coppervalve::budget
