#ifndef COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_
#define COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_

#include "coppervalve/core/units.h"
#include "coppervalve/ledger/budget.h"

namespace coppervalve::ledger::detail {

/// @brief One holding beside its budget's balance: the only place that moves
/// tokens, so that both sides always change together.
class HoldingRef {
 public:
  /// @param quarantined whether the holder's incarnation is retired
  HoldingRef(Budget& budget, Holding& holding, bool quarantined)
      : m_budget(&budget), m_holding(&holding), m_quarantined(quarantined) {}

  Budget& budget() const { return *m_budget; }
  Holding& holding() const { return *m_holding; }

  /// @brief Balance to holding. @pre tokens <= free
  void Grant(core::Tokens tokens);
  /// @brief Holding to balance. @pre tokens <= held
  void Return(core::Tokens tokens);
  /// @brief Marks held tokens as spent. @pre billed + written_off <= held
  void Spend(core::Tokens billed, core::Tokens written_off);
  /// @brief Holding to another router's. @pre tokens <= held
  void TransferOut(core::Tokens tokens);
  void TransferIn(core::Tokens tokens);

  /// @brief Quarantine to balance. @pre quarantined and tokens <= held
  void Release(core::Tokens tokens);
  /// @brief Releases what lies past the ceiling, if there is one.
  /// @return the tokens released
  core::Tokens ReleaseAboveCeiling();
  /// @brief Takes released tokens back until `needed` are held, as far as the
  /// balance has them.
  /// @return the tokens taken back
  core::Tokens Reclaim(core::Tokens needed);

 private:
  /// @brief Changes what is held, and the budget's totals with it.
  void AddHeld(core::Tokens tokens);

  Budget* m_budget;
  Holding* m_holding;
  bool m_quarantined;
};

/// @return whether the balance equals its parts and none is negative
bool IsBalanced(const Budget& budget);

/// @return whether no part of the holding is negative
bool IsBalanced(const Holding& holding);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_HOLDING_REF_H_
