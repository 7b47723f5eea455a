#include "coppervalve/budget/witnessing.h"

#include <algorithm>  // min
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

Witnessing::Witnessing() {
  m_binding.emplace_back(std::nullopt);
}

bool Witnessing::Choose(const std::optional<PeerRef>& peer) {
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

void Witnessing::Ask(const core::BudgetId& budget, core::Tokens ceiling) {
  for (CeilingLink& link : m_binding) {
    link.Ask(budget, ceiling);
  }
  if (m_candidate) {
    m_candidate->Ask(budget, ceiling);
  }
}

std::optional<core::Tokens> Witnessing::Limit(
    const core::BudgetId& budget) const {
  Ceiling limit;
  for (const CeilingLink& link : m_binding) {
    limit = Smaller(limit, link.Acked(budget));
  }
  return limit;
}

std::optional<core::Tokens> Witnessing::Asked(
    const core::BudgetId& budget) const {
  Ceiling asked;
  for (const CeilingLink& link : m_binding) {
    asked = Smaller(asked, link.Asked(budget));
  }
  return m_candidate ? Smaller(asked, m_candidate->Asked(budget)) : asked;
}

const CeilingLink* Witnessing::ReadyCandidate() const {
  // One record at a time, so that the fold's answer can only mean that one.
  const bool ready =
      m_binding.size() == 1 && m_candidate && m_candidate->Complete();
  return ready ? &*m_candidate : nullptr;
}

v1::WitnessChosen Witnessing::RecordCandidate() {
  v1::WitnessChosen record;
  if (m_candidate->Peer()) {
    record.set_router(m_candidate->Peer()->router.value());
    record.set_incarnation(m_candidate->Peer()->incarnation.value());
  }
  // From the moment that the record may be in the log, this router can be
  // retired with either witness in force. Bound by one of them only, it could
  // pass the ceiling that the other one states; bound by both it passes none.
  m_binding.push_back(std::move(*m_candidate));
  m_candidate.reset();
  return record;
}

void Witnessing::OnInForce(const std::optional<PeerRef>& peer) {
  if (m_binding.size() > 1 && m_binding.back().Peer() == peer) {
    m_binding.erase(m_binding.begin());
  }
}

void Witnessing::OnRefusedByFold(const PeerRef& peer) {
  if (m_binding.size() > 1 && m_binding.back().Peer() == peer) {
    m_binding.pop_back();
  }
}

std::vector<CeilingRaiseTo> Witnessing::TakeRaises(core::TimePoint now) {
  std::vector<CeilingRaiseTo> raises;
  const auto take = [&](CeilingLink& link) {
    if (auto raise = link.TakeRaise(now, m_last_serial)) {
      raises.push_back({*link.Peer(), std::move(*raise)});
    }
  };
  for (CeilingLink& link : m_binding) {
    take(link);
  }
  if (m_candidate) {
    take(*m_candidate);
  }
  return raises;
}

std::vector<core::BudgetId> Witnessing::OnAck(const PeerRef& from,
                                              const v1::CeilingAck& ack) {
  std::vector<core::BudgetId> raised;
  const auto apply = [&](CeilingLink& link) {
    if (link.Peer() != from) {
      return;
    }
    for (core::BudgetId& budget : link.OnAck(ack)) {
      raised.push_back(std::move(budget));
    }
  };
  for (CeilingLink& link : m_binding) {
    apply(link);
  }
  if (m_candidate) {
    apply(*m_candidate);
  }
  return raised;
}

const std::optional<PeerRef>& Witnessing::InForce() const {
  return m_binding.front().Peer();
}

bool Witnessing::Refused() const {
  return m_candidate ? m_candidate->Refused() : m_binding.back().Refused();
}

}  // namespace coppervalve::budget
