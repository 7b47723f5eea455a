#include "coppervalve/budget/peer_spares.h"

#include <algorithm>  // max

namespace coppervalve::budget {

void PeerSpares::OnHeartbeat(core::TimePoint now,
                             const PeerRef& peer,
                             const std::vector<v1::Spare>& spares) {
  if (m_offers.size() > kMaxOfferedBudgets) {
    m_offers.clear();
  }
  for (const v1::Spare& spare : spares) {
    m_offers[core::BudgetId(spare.budget())][peer] = {
        core::Tokens(spare.tokens()), now};
  }
}

std::optional<PeerSpares::Offer> PeerSpares::BestOffer(
    core::TimePoint now,
    const core::BudgetId& budget) const {
  const auto found = m_offers.find(budget);
  if (found == m_offers.end()) {
    return std::nullopt;
  }
  std::optional<Offer> best;
  for (const auto& [peer, advertised] : found->second) {
    if (now - advertised.at > kSpareLifetime ||
        advertised.tokens <= core::Tokens(0)) {
      continue;
    }
    if (!best || advertised.tokens > best->tokens) {
      best = Offer{peer, advertised.tokens};
    }
  }
  return best;
}

core::Tokens PeerSpares::TotalOffered(core::TimePoint now,
                                      const core::BudgetId& budget) const {
  core::Tokens sum{0};
  const auto found = m_offers.find(budget);
  if (found == m_offers.end()) {
    return sum;
  }
  for (const auto& [peer, advertised] : found->second) {
    if (now - advertised.at <= kSpareLifetime) {
      sum += advertised.tokens;
    }
  }
  return sum;
}

void PeerSpares::Deduct(const core::BudgetId& budget,
                        const PeerRef& peer,
                        core::Tokens tokens) {
  core::Tokens& offer = m_offers[budget][peer].tokens;
  offer = std::max(offer - tokens, core::Tokens(0));
}

}  // namespace coppervalve::budget
