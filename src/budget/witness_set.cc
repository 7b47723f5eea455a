#include "coppervalve/budget/witness_set.h"

#include <algorithm>  // max, min
#include <utility>    // move

namespace coppervalve::budget {

namespace {

using Ceiling = std::optional<core::Tokens>;

Ceiling Smaller(Ceiling a, Ceiling b) {
  if (!a || !b) {
    return a ? a : b;
  }
  return std::min(*a, *b);
}

}  // namespace

WitnessSet::WitnessSet() {
  m_binding.emplace_back(std::nullopt);
}

bool WitnessSet::StartChange(const std::optional<PeerRef>& peer) {
  if (m_candidate && m_candidate->Peer() == peer) {
    return false;
  }
  m_candidate.reset();
  if (m_binding.back().Peer() == peer) {
    return false;
  }
  m_candidate.emplace(peer);
  return true;
}

void WitnessSet::RequestCeiling(const core::BudgetId& budget,
                                core::Tokens ceiling) {
  for (WitnessCeilings& witness : m_binding) {
    witness.RequestCeiling(budget, ceiling);
  }
  if (m_candidate) {
    m_candidate->RequestCeiling(budget, ceiling);
  }
}

std::optional<core::Tokens> WitnessSet::EffectiveCeiling(
    const core::BudgetId& budget) const {
  Ceiling limit;
  for (const WitnessCeilings& witness : m_binding) {
    limit = Smaller(limit, witness.AcknowledgedCeiling(budget));
  }
  return limit;
}

std::optional<core::Tokens> WitnessSet::RequestedCeiling(
    const core::BudgetId& budget) const {
  Ceiling requested;
  for (const WitnessCeilings& witness : m_binding) {
    requested = Smaller(requested, witness.RequestedCeiling(budget));
  }
  return m_candidate ? Smaller(requested, m_candidate->RequestedCeiling(budget))
                     : requested;
}

std::optional<core::Tokens> WitnessSet::LargestRequestedCeiling(
    const core::BudgetId& budget) const {
  core::Tokens largest;
  for (const WitnessCeilings& witness : m_binding) {
    const Ceiling requested = witness.RequestedCeiling(budget);
    if (!requested) {
      return std::nullopt;
    }
    largest = std::max(largest, *requested);
  }
  return largest;
}

const WitnessCeilings* WitnessSet::ReadyCandidate() const {
  // Only one record is pending at a time, so that the ledger's answer can only
  // refer to that one.
  const bool ready =
      m_binding.size() == 1 && m_candidate && m_candidate->Complete();
  return ready ? &*m_candidate : nullptr;
}

v1::WitnessChosen WitnessSet::RecordCandidate() {
  v1::WitnessChosen record;
  if (m_candidate->Peer()) {
    record.set_router(m_candidate->Peer()->router.value());
    record.set_incarnation(m_candidate->Peer()->incarnation.value());
  }
  // Once the record may be in the log, this router can be retired with either
  // witness in force. If only the ceilings of one applied, the router could
  // exceed the ceiling reported by the other one.
  m_binding.push_back(std::move(*m_candidate));
  m_candidate.reset();
  return record;
}

void WitnessSet::OnInForce(const std::optional<PeerRef>& peer) {
  if (m_binding.size() > 1 && m_binding.back().Peer() == peer) {
    m_binding.erase(m_binding.begin());
  }
}

void WitnessSet::OnRefused(const PeerRef& peer) {
  if (m_binding.size() > 1 && m_binding.back().Peer() == peer) {
    m_binding.pop_back();
  }
}

std::vector<CeilingRaiseTo> WitnessSet::TakeRaises(core::TimePoint now) {
  std::vector<CeilingRaiseTo> raises;
  const auto take = [&](WitnessCeilings& witness) {
    if (auto raise = witness.TakeRaise(now, m_last_serial)) {
      raises.push_back({*witness.Peer(), std::move(*raise)});
    }
  };
  for (WitnessCeilings& witness : m_binding) {
    take(witness);
  }
  if (m_candidate) {
    take(*m_candidate);
  }
  return raises;
}

std::vector<core::BudgetId> WitnessSet::OnAck(const PeerRef& from,
                                              const v1::CeilingAck& ack) {
  std::vector<core::BudgetId> raised;
  const auto apply = [&](WitnessCeilings& witness) {
    if (witness.Peer() != from) {
      return;
    }
    for (core::BudgetId& budget : witness.OnAck(ack)) {
      raised.push_back(std::move(budget));
    }
  };
  for (WitnessCeilings& witness : m_binding) {
    apply(witness);
  }
  if (m_candidate) {
    apply(*m_candidate);
  }
  return raised;
}

const std::optional<PeerRef>& WitnessSet::InForce() const {
  return m_binding.front().Peer();
}

bool WitnessSet::Refused() const {
  return m_candidate ? m_candidate->Refused() : m_binding.back().Refused();
}

}  // namespace coppervalve::budget
