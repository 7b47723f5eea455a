#include "coppervalve/ledger/detail/holding_ref.h"

#include <algorithm>  // max, min

namespace coppervalve::ledger {

using core::Tokens;

namespace {

constexpr int64_t kPermille = 1000;

// Divides first, because the product of a large balance and the share may
// overflow.
Tokens ShareOf(Tokens tokens, int64_t permille) {
  const int64_t whole = tokens.value() / kPermille * permille;
  const int64_t rest = tokens.value() % kPermille * permille / kPermille;
  return Tokens(whole + rest);
}

}  // namespace

Tokens Budget::Available(v1::AdmissionClass admission_class) const {
  if (!configured) {
    return Tokens(0);
  }
  if (admission_class == v1::GATE) {
    return free;
  }
  // The reserve is the last part of the balance. Only class GATE may draw on
  // it, down to zero.
  const int64_t permille = std::min<int64_t>(gate_reserve_permille, kPermille);
  return std::max(Tokens(0), free - ShareOf(paid_in, permille));
}

namespace detail {

void HoldingRef::AddHeld(Tokens tokens) {
  m_budget->held += tokens;
  if (m_quarantined) {
    m_budget->quarantined += tokens;
  }
}

void HoldingRef::Grant(Tokens tokens) {
  m_budget->free -= tokens;
  m_holding->received += tokens;
  AddHeld(tokens);
}

void HoldingRef::Return(Tokens tokens) {
  Grant(Tokens(0) - tokens);
}

void HoldingRef::Spend(Tokens billed, Tokens written_off) {
  const Tokens spent = billed + written_off;
  m_budget->billed += billed;
  m_budget->written_off += written_off;
  m_holding->spent += spent;
  AddHeld(Tokens(0) - spent);
}

void HoldingRef::TransferOut(Tokens tokens) {
  m_holding->transferred_out += tokens;
  AddHeld(Tokens(0) - tokens);
}

void HoldingRef::TransferIn(Tokens tokens) {
  m_holding->received += tokens;
  AddHeld(tokens);
}

void HoldingRef::Release(Tokens tokens) {
  m_budget->free += tokens;
  m_holding->released += tokens;
  AddHeld(Tokens(0) - tokens);
}

Tokens HoldingRef::ReleaseAboveCeiling() {
  if (!m_holding->ceiling.has_value()) {
    return Tokens(0);
  }
  const Tokens committed = m_holding->spent + m_holding->transferred_out;
  const Tokens uncommitted =
      std::max(Tokens(0), *m_holding->ceiling - committed);
  const Tokens above = std::max(Tokens(0), m_holding->held() - uncommitted);
  Release(above);
  return above;
}

// An operator may have released tokens that the retired incarnation had
// committed, so that a late final report or transfer exceeds the holding. What
// the balance still has is reclaimed before another router draws it. When that
// is too little, the holding stays short and the caller handles it as an error.
Tokens HoldingRef::Reclaim(Tokens needed) {
  const Tokens missing = std::max(Tokens(0), needed - m_holding->held());
  const Tokens taken = std::min({missing, m_holding->released, m_budget->free});
  Release(Tokens(0) - taken);
  return taken;
}

bool IsBalanced(const Budget& budget) {
  const Tokens zero;
  const Tokens parts =
      budget.free + budget.billed + budget.written_off + budget.held;
  return budget.paid_in == parts && budget.free >= zero &&
         budget.billed >= zero && budget.written_off >= zero &&
         budget.quarantined >= zero && budget.held >= budget.quarantined;
}

bool IsBalanced(const Holding& holding) {
  const Tokens zero;
  return holding.received >= zero && holding.spent >= zero &&
         holding.transferred_out >= zero && holding.released >= zero &&
         holding.held() >= zero;
}

}  // namespace detail

}  // namespace coppervalve::ledger
