#ifndef COPPERVALVE_LEDGER_BUDGET_H_
#define COPPERVALVE_LEDGER_BUDGET_H_

#include <cstdint>   // uint32_t
#include <optional>  // optional

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::ledger {

/// @brief What one router incarnation holds of one budget.
struct Holding {
  core::Tokens received;         ///< granted + transferred in - returned
  core::Tokens spent;            ///< as reported
  core::Tokens written_off;      ///< as reported; included in `spent`
  core::Tokens transferred_out;  ///< as recorded in the log
  core::Tokens released;         ///< returned to the balance after retirement
  /// Upper bound of what the incarnation can have committed. Set only after its
  /// retirement.
  std::optional<core::Tokens> ceiling;

  /// @return tokens that are neither spent, transferred out nor released; never
  /// negative
  core::Tokens held() const {
    return received - spent - transferred_out - released;
  }

  friend bool operator==(const Holding&, const Holding&) = default;
};

/// @brief The balance of one budget.
/// Invariant: paid_in == free + billed + written_off + held.
struct Budget {
  core::BudgetId id;
  core::Tokens paid_in;
  core::Tokens paid_in_by_config;  ///< the part declared by configurations
  core::Tokens free;
  core::Tokens billed;
  core::Tokens written_off;
  core::Tokens held;         ///< by all incarnations, including retired ones
  core::Tokens quarantined;  ///< part of `held` of retired ones
  uint32_t gate_reserve_permille = 0;
  v1::ReleasePolicy release = v1::OPERATOR_ONLY;
  bool configured = false;  ///< named in the configuration in force

  /// @return tokens that a request of this class may draw now
  core::Tokens Available(v1::AdmissionClass admission_class) const;
};

}  // namespace coppervalve::ledger

#endif  // COPPERVALVE_LEDGER_BUDGET_H_
