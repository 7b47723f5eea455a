#include "coppervalve/ledger/detail/quorum.h"

#include <algorithm>  // max
#include <utility>    // move

namespace coppervalve::ledger::detail {

using core::Incarnation;
using core::LogOffset;

void Quorum::OnSeen(Incarnation incarnation, LogOffset seen) {
  const auto voter = m_voters.find(incarnation);
  if (voter != m_voters.end()) {
    voter->second = std::max(voter->second, seen);
  }
}

// Without voters a change takes effect at once, because no router can be
// working under the old state.
bool Quorum::HasMajority(LogOffset offset) const {
  size_t seen = 0;
  for (const auto& [incarnation, next_unread] : m_voters) {
    seen += next_unread > offset ? 1U : 0U;
  }
  return m_voters.empty() || 2 * seen > m_voters.size();
}

std::optional<PendingChange> Quorum::TakeReadyChange() {
  if (m_pending.empty() || !HasMajority(m_pending.front().offset)) {
    return std::nullopt;
  }
  PendingChange ready = std::move(m_pending.front());
  m_pending.pop_front();
  return ready;
}

void Quorum::Add(Incarnation incarnation, LogOffset seen) {
  m_voters.insert_or_assign(incarnation, seen);
}

void Quorum::Replace(Incarnation older, Incarnation newer, LogOffset seen) {
  if (m_voters.erase(older) > 0) {
    Add(newer, seen);
    return;
  }
  // The older incarnation is not a voter yet; the newer one takes its place
  // among the pending changes.
  for (PendingChange& pending : m_pending) {
    auto* joins = std::get_if<VoterJoins>(&pending.change);
    if (joins != nullptr && joins->incarnation == older) {
      joins->incarnation = newer;
    }
  }
}

const Proposal* Quorum::PendingProposal() const {
  for (const PendingChange& pending : m_pending) {
    if (const auto* proposal = std::get_if<Proposal>(&pending.change)) {
      return proposal;
    }
  }
  return nullptr;
}

}  // namespace coppervalve::ledger::detail
