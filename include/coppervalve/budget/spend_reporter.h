#ifndef COPPERVALVE_BUDGET_SPEND_REPORTER_H_
#define COPPERVALVE_BUDGET_SPEND_REPORTER_H_

#include <deque>     // deque
#include <optional>  // optional
#include <variant>   // variant
#include <vector>    // vector

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::budget {

/// @brief Maximum number of bills in one log record.
inline constexpr size_t kMaxBillsPerRecord = 1000;

/// @brief Account and key hash to bill for a request that has a key.
struct Bill {
  core::Hash128 key_hash;
  core::AccountId account;
};

/// @brief Billed to the account, without a request key.
struct Unkeyed {};
/// @brief Spent but not billed, because the attempt was abandoned or aborted.
struct WrittenOff {};
/// @brief Who is billed for a settlement.
using Charge = std::variant<Unkeyed, Bill, WrittenOff>;

/// @brief Reports the settlements of one budget to the log. Bills are kept
/// until the ledger is known to have applied them, because it ignores reports
/// of an incarnation that was retired in the meantime.
class SpendReporter {
 public:
  /// @brief Counts tokens that were added to the cumulative spend.
  void Add(const Charge& charge, core::Tokens tokens);
  /// @param spent cumulative
  /// @return the next report; nullopt when everything was reported
  std::optional<v1::SpendReported> NextReport(const core::BudgetId& budget,
                                              core::Tokens spent);
  /// @brief The ledger applied a report.
  /// @param spent cumulative spend in the report
  void OnReportApplied(core::Tokens spent);
  /// @return the final spend with every bill that isn't known to be applied
  v1::FinalSpend FinalReport(const core::BudgetId& budget,
                             core::Tokens spent) const;
  /// @return the cumulative spend of the last report
  core::Tokens LastReported() const { return m_reported; }

 private:
  struct Report {
    core::Tokens spent;
    std::vector<v1::Bill> bills;
  };

  std::deque<v1::Bill> m_unreported;
  core::Tokens m_unreported_tokens;
  std::deque<Report> m_unapplied;
  core::Tokens m_reported;
  core::Tokens m_written_off;  ///< cumulative
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_SPEND_REPORTER_H_
