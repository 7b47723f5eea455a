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

// Without a voter there is nobody who could work under the old state.
bool Quorum::HasMajority(LogOffset offset) const {
  size_t seen = 0;
  for (const auto& [incarnation, next_unread] : m_voters) {
    seen += next_unread > offset ? 1U : 0U;
  }
  return m_voters.empty() || 2 * seen > m_voters.size();
}

std::optional<Awaited> Quorum::TakeReady() {
  if (m_awaited.empty() || !HasMajority(m_awaited.front().offset)) {
    return std::nullopt;
  }
  Awaited ready = std::move(m_awaited.front());
  m_awaited.pop_front();
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
  // The older one was still waiting for its vote; the newer one waits in its
  // place.
  for (Awaited& awaited : m_awaited) {
    auto* joins = std::get_if<VoterJoins>(&awaited.change);
    if (joins != nullptr && joins->incarnation == older) {
      joins->incarnation = newer;
    }
  }
}

const Proposal* Quorum::WaitingProposal() const {
  for (const Awaited& awaited : m_awaited) {
    if (const auto* proposal = std::get_if<Proposal>(&awaited.change)) {
      return proposal;
    }
  }
  return nullptr;
}

}  // namespace coppervalve::ledger::detail
