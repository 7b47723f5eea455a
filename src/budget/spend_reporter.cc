#include "coppervalve/budget/spend_reporter.h"

#include <utility>  // move
#include <variant>  // get_if, holds_alternative

namespace coppervalve::budget {

void SpendReporter::Add(const Charge& charge, core::Tokens tokens) {
  if (std::holds_alternative<WrittenOff>(charge)) {
    m_written_off += tokens;
  }
  const auto* bill = std::get_if<Bill>(&charge);
  if (bill == nullptr) {
    return;
  }
  v1::Bill& added = m_unreported.emplace_back();
  added.set_key_hash(bill->key_hash.ToBytes());
  added.set_account(bill->account.value());
  added.set_tokens(tokens.value());
  m_unreported_tokens += tokens;
}

std::optional<v1::SpendReported> SpendReporter::NextReport(
    const core::BudgetId& budget,
    core::Tokens spent) {
  if (spent == m_reported && m_unreported.empty()) {
    return std::nullopt;
  }
  Report reported;
  while (!m_unreported.empty() && reported.bills.size() < kMaxBillsPerRecord) {
    m_unreported_tokens -= core::Tokens(m_unreported.front().tokens());
    reported.bills.push_back(std::move(m_unreported.front()));
    m_unreported.pop_front();
  }
  // Bills that don't fit are left for a later report together with their
  // tokens, so that a report never bills more than it spends.
  reported.spent = spent - m_unreported_tokens;
  m_reported = reported.spent;

  v1::SpendReported record;
  record.set_budget(budget.value());
  record.set_spent(reported.spent.value());
  record.set_written_off(m_written_off.value());
  for (const v1::Bill& bill : reported.bills) {
    *record.add_bills() = bill;
  }
  m_unapplied.push_back(std::move(reported));
  return record;
}

void SpendReporter::OnReportApplied(core::Tokens spent) {
  while (!m_unapplied.empty() && m_unapplied.front().spent < spent) {
    m_unapplied.pop_front();
  }
  if (!m_unapplied.empty() && m_unapplied.front().spent == spent) {
    m_unapplied.pop_front();
  }
}

v1::FinalSpend SpendReporter::FinalReport(const core::BudgetId& budget,
                                          core::Tokens spent) const {
  v1::FinalSpend final_spend;
  final_spend.set_budget(budget.value());
  final_spend.set_spent(spent.value());
  final_spend.set_written_off(m_written_off.value());
  for (const Report& reported : m_unapplied) {
    for (const v1::Bill& bill : reported.bills) {
      *final_spend.add_bills() = bill;
    }
  }
  for (const v1::Bill& bill : m_unreported) {
    *final_spend.add_bills() = bill;
  }
  return final_spend;
}

}  // namespace coppervalve::budget
