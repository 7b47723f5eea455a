#include "coppervalve/ledger/detail/budget_table.h"

#include <algorithm>  // sort

namespace coppervalve::ledger::detail {

Budget* BudgetTable::Find(const core::BudgetId& id) {
  const auto found = m_budgets.find(id);
  return found == m_budgets.end() ? nullptr : &found->second;
}

const Budget* BudgetTable::Find(const core::BudgetId& id) const {
  const auto found = m_budgets.find(id);
  return found == m_budgets.end() ? nullptr : &found->second;
}

Budget& BudgetTable::Declare(const core::BudgetId& id) {
  Budget& budget = m_budgets[id];
  budget.id = id;
  return budget;
}

std::vector<const Budget*> BudgetTable::Sorted() const {
  std::vector<const Budget*> sorted;
  sorted.reserve(m_budgets.size());
  for (const auto& [id, budget] : m_budgets) {
    sorted.push_back(&budget);
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const Budget* a, const Budget* b) { return a->id < b->id; });
  return sorted;
}

// A snapshot contains only the policies of configured budgets. Keeping the
// policies of other budgets here would make a router that starts from a
// snapshot apply a later release differently from one that did not. So all
// budgets are reset to the strictest policy.
void BudgetTable::ResetPolicies() {
  for (auto& [id, budget] : m_budgets) {
    budget.configured = false;
    budget.gate_reserve_permille = 0;
    budget.release = v1::OPERATOR_ONLY;
  }
}

void ApplyPolicy(const v1::Budget& declared, Budget& budget) {
  budget.configured = true;
  budget.gate_reserve_permille = declared.gate_reserve_permille();
  budget.release = declared.release();
}

}  // namespace coppervalve::ledger::detail
