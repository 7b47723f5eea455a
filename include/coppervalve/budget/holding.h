#ifndef COPPERVALVE_BUDGET_HOLDING_H_
#define COPPERVALVE_BUDGET_HOLDING_H_

#include "coppervalve/core/units.h"

namespace coppervalve::budget {

/// @brief The tokens of one budget at one router incarnation. All amounts are
/// cumulative except `reserved` and `gate_only`. "Applied" means applied by the
/// ledger.
struct Holding {
  core::Tokens granted;                 ///< applied
  core::Tokens transferred_in;          ///< credited, applied or not
  core::Tokens transferred_in_applied;  ///< applied part of transferred_in
  core::Tokens returned;                ///< debited, applied or not
  core::Tokens spent;                   ///< settled
  core::Tokens reserved;                ///< by requests in progress
  core::Tokens transferred_out;         ///< debited, applied or not
  core::Tokens gate_only;               ///< spare that only GATE may reserve

  /// @return all tokens ever received, less those returned
  core::Tokens Received() const { return granted + transferred_in - returned; }
  /// @return the tokens that count against the ceiling
  core::Tokens Committed() const { return spent + reserved + transferred_out; }
  /// @return tokens held and not committed
  core::Tokens Spare() const { return Received() - Committed(); }
  /// @return the spare tokens that the ledger already counts as held here
  core::Tokens AppliedSpare() const {
    return granted + transferred_in_applied - returned - Committed();
  }
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_HOLDING_H_
