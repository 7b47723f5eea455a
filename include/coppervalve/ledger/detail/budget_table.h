#ifndef COPPERVALVE_LEDGER_DETAIL_BUDGET_TABLE_H_
#define COPPERVALVE_LEDGER_DETAIL_BUDGET_TABLE_H_

#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/ledger/budget.h"

namespace coppervalve::ledger::detail {

/// @brief All budgets that any configuration has named.
class BudgetTable {
 public:
  /// @return null when unknown
  Budget* Find(const core::BudgetId& id);
  const Budget* Find(const core::BudgetId& id) const;
  /// @return the budget; created with an empty balance when unknown
  Budget& Declare(const core::BudgetId& id);
  /// @brief In no particular order.
  const std::unordered_map<core::BudgetId, Budget>& all() const {
    return m_budgets;
  }
  /// @brief All budgets, sorted by id. @complexity n log n
  std::vector<const Budget*> Sorted() const;
  size_t size() const { return m_budgets.size(); }
  /// @brief Resets all budgets to unconfigured: no grants, and the strictest
  /// release policy. @complexity linear
  void ResetPolicies();

 private:
  std::unordered_map<core::BudgetId, Budget> m_budgets;
};

/// @brief Marks a budget as configured and sets its declared policies.
void ApplyPolicy(const v1::Budget& declared, Budget& budget);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_BUDGET_TABLE_H_
