#include "coppervalve/budget/witness_ceilings.h"

#include <algorithm>  // max, min
#include <utility>    // move

namespace coppervalve::budget {

WitnessCeilings::WitnessCeilings(std::optional<PeerRef> peer)
    : m_peer(std::move(peer)) {}

void WitnessCeilings::RequestCeiling(const core::BudgetId& budget,
                                     core::Tokens ceiling) {
  if (!m_peer) {
    return;
  }
  Ceiling& entry = m_ceilings[budget];
  if (ceiling <= entry.requested) {
    return;
  }
  entry.requested = ceiling;
  if (!entry.queued) {
    entry.queued = true;
    m_queue.push_back(budget);
  }
}

std::optional<core::Tokens> WitnessCeilings::RequestedCeiling(
    const core::BudgetId& budget) const {
  if (!m_peer) {
    return std::nullopt;
  }
  const auto found = m_ceilings.find(budget);
  return found == m_ceilings.end() ? core::Tokens(0) : found->second.requested;
}

std::optional<core::Tokens> WitnessCeilings::AcknowledgedCeiling(
    const core::BudgetId& budget) const {
  if (!m_peer) {
    return std::nullopt;
  }
  const auto found = m_ceilings.find(budget);
  return found == m_ceilings.end() ? core::Tokens(0)
                                   : found->second.acknowledged;
}

std::optional<v1::CeilingRaise> WitnessCeilings::TakeRaise(
    core::TimePoint now,
    uint64_t& last_serial) {
  if (!m_peer || m_refused) {
    return std::nullopt;
  }
  if (m_outstanding) {
    if (now - m_sent_at < kRaiseResendInterval) {
      return std::nullopt;
    }
    // Resends under the same serial, so that a late acknowledgement of the
    // first copy still counts and a slow link makes progress.
    m_sent_at = now;
    return m_outstanding;
  }
  if (m_complete && m_queue.empty()) {
    return std::nullopt;
  }
  m_outstanding = NextRaise(++last_serial);
  m_sent_at = now;
  return m_outstanding;
}

v1::CeilingRaise WitnessCeilings::NextRaise(uint64_t serial) {
  v1::CeilingRaise raise;
  raise.set_serial(serial);
  // The first raise is the full list: all ceilings requested so far are queued.
  raise.set_full(!m_complete);
  const size_t count = m_complete
                           ? std::min(m_queue.size(), kMaxCeilingsPerRaise)
                           : m_queue.size();
  const auto last = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto budget = m_queue.begin(); budget != last; ++budget) {
    Write(*budget, *raise.add_ceilings());
  }
  m_queue.erase(m_queue.begin(), last);
  return raise;
}

// Names make up most of a raise, so each is sent only until the witness has
// acknowledged it. A raise that carried a name may be lost, so the name is
// repeated until then.
void WitnessCeilings::Write(const core::BudgetId& budget,
                            v1::PeerCeiling& ceiling) {
  Ceiling& entry = m_ceilings[budget];
  entry.queued = false;
  if (entry.number == 0) {
    m_budget_by_number.push_back(budget);
    entry.number = static_cast<uint32_t>(m_budget_by_number.size());
  }
  if (!entry.name_acknowledged) {
    ceiling.set_budget(budget.value());
  }
  ceiling.set_number(entry.number);
  ceiling.set_tokens(entry.requested.value());
}

std::vector<core::BudgetId> WitnessCeilings::OnAck(const v1::CeilingAck& ack) {
  // An acknowledgement confirms exactly the ceilings of its raise. If it were
  // applied to a later raise that was lost, this router could commit more than
  // the witness reports after a retirement, and the tokens would be spent
  // twice.
  if (!m_outstanding || ack.serial() != m_outstanding->serial()) {
    return {};
  }
  const v1::CeilingRaise raise = std::move(*m_outstanding);
  m_outstanding.reset();
  if (ack.refused()) {
    m_refused = true;
    return {};
  }
  m_complete = true;
  std::vector<core::BudgetId> raised;
  for (const v1::PeerCeiling& ceiling : raise.ceilings()) {
    const core::BudgetId& budget = m_budget_by_number[ceiling.number() - 1];
    Ceiling& entry = m_ceilings[budget];
    entry.name_acknowledged = true;
    entry.acknowledged =
        std::max(entry.acknowledged, core::Tokens(ceiling.tokens()));
    raised.push_back(budget);
  }
  return raised;
}

}  // namespace coppervalve::budget
