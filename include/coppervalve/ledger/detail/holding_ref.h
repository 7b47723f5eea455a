#ifndef COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_
#define COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_

#include "coppervalve/core/units.h"
#include "coppervalve/ledger/budget.h"

namespace coppervalve::ledger::detail {

/// @brief A holding and the balance of its budget. Tokens are moved only
/// through this class, so that both always change together.
class HoldingRef {
 public:
  /// @param quarantined whether the holder's incarnation is retired
  HoldingRef(Budget& budget, Holding& holding, bool quarantined)
      : m_budget(&budget), m_holding(&holding), m_quarantined(quarantined) {}

  Budget& budget() const { return *m_budget; }
  Holding& holding() const { return *m_holding; }

  /// @brief Moves tokens from the balance to the holding. @pre tokens <= free
  void Grant(core::Tokens tokens);
  /// @brief Moves tokens from the holding to the balance. @pre tokens <= held
  void Return(core::Tokens tokens);
  /// @brief Marks held tokens as spent. @pre billed + written_off <= held
  void Spend(core::Tokens billed, core::Tokens written_off);
  /// @brief Removes tokens that go to another router's holding. @pre tokens <=
  /// held
  void TransferOut(core::Tokens tokens);
  void TransferIn(core::Tokens tokens);

  /// @brief Moves quarantined tokens to the balance. @pre quarantined and
  /// tokens <= held
  void Release(core::Tokens tokens);
  /// @brief Releases the held tokens above the ceiling, if there is one.
  /// @return the tokens released
  core::Tokens ReleaseAboveCeiling();
  /// @brief Reclaims released tokens until `needed` are held, as far as the
  /// balance has them.
  /// @return the tokens reclaimed
  core::Tokens Reclaim(core::Tokens needed);

 private:
  /// @brief Changes the held tokens and the totals of the budget.
  void AddHeld(core::Tokens tokens);

  Budget* m_budget;
  Holding* m_holding;
  bool m_quarantined;
};

/// @return whether the balance equals the sum of its parts and no part is
/// negative
bool IsBalanced(const Budget& budget);

/// @return whether no part of the holding is negative
bool IsBalanced(const Holding& holding);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_
