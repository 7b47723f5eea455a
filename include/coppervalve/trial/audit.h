#ifndef COPPERVALVE_TRIAL_AUDIT_H_
#define COPPERVALVE_TRIAL_AUDIT_H_

#include <cstdint>        // int64_t, uint64_t
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/trial/fleet.h"

namespace coppervalve::trial {

/// @brief A violated invariant, described for the trace.
struct Violation {
  std::string invariant;  ///< "I1" to "I9", see docs/INVARIANTS.md
  std::string what;
};

/// @brief Token totals of all budgets, from the log and the upstreams' records.
struct TokenCount {
  int64_t paid_in = 0;
  int64_t used = 0;      ///< according to the upstreams' records
  int64_t billed = 0;    ///< according to the log
  int64_t free = 0;      ///< according to the log
  int64_t held = 0;      ///< by live routers, according to the log
  int64_t stranded = 0;  ///< quarantined or written off beyond what was used
};

/// @brief Checks the invariants independently: from the log's entries and the
/// upstreams' records, never from the routers' own counts.
class Audit {
 public:
  explicit Audit(Fleet& fleet);

  /// @brief Checks everything since the last call.
  /// @complexity linear in what is new, plus nodes and budgets
  std::vector<Violation> Check();
  /// @brief Compares all folds that are at the same offset, and all holdings.
  /// @complexity linear in the state
  std::vector<Violation> CheckFolds();
  /// @brief Called when a router starts an attempt. Reports a violation if the
  /// router's configuration was replaced longer ago than the freshness bound.
  void OnDispatch(size_t node);
  TokenCount Count() const;
  /// @return whether a single exact counter has tokens for the request after
  /// `others` are taken
  bool HasTokensFor(const ClientRequest& client_request,
                    core::Tokens others = core::Tokens(0)) const;
  const ledger::Fold& fold() const { return m_fold; }

 private:
  void ApplyNewEntries(std::vector<Violation>& found);
  void CheckSpend(std::vector<Violation>& found);
  void CheckHoldings(std::vector<Violation>& found);
  void CheckClientAttempts(std::vector<Violation>& found);
  std::string Describe(const ClientAttempt& client_attempt) const;
  void CheckVersions(std::vector<Violation>& found);
  void CheckOrders(std::vector<Violation>& found);

  Fleet& m_fleet;
  ledger::Fold m_fold;
  size_t m_executions_seen = 0;
  std::unordered_map<core::BudgetId, int64_t> m_used;
  std::unordered_map<size_t, uint64_t>
      m_runs_by_request;  ///< by client_request
  std::unordered_map<size_t, uint64_t>
      m_runs_by_attempt;  ///< by client_attempt
  std::unordered_map<core::Hash128, uint64_t> m_bills;
  std::vector<uint64_t> m_versions;
  /// When each version came into force, by version.
  std::vector<core::TimePoint> m_in_force_since;
  /// Found by OnDispatch() since the last Check().
  std::vector<Violation> m_stale_dispatches;
  size_t m_orders_seen = 0;
  std::unordered_map<core::UpstreamId, core::FencingNumber> m_newest_order;
  std::vector<core::Incarnation> m_incarnations;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_AUDIT_H_
