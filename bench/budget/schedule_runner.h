#ifndef COPPERVALVE_BENCH_BUDGET_SCHEDULE_RUNNER_H_
#define COPPERVALVE_BENCH_BUDGET_SCHEDULE_RUNNER_H_

#include <cstddef>        // size_t
#include <cstdint>        // int64_t, uint64_t
#include <functional>     // function
#include <map>            // map
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/budget/sizing.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/trial/audit.h"
#include "coppervalve/trial/fleet.h"
#include "coppervalve/trial/load_generator.h"

namespace coppervalve::bench {

/// @brief Result of one schedule under one sizing policy.
struct Outcome {
  int64_t overspend =
      0;  ///< most tokens used beyond those paid in, all budgets
  uint64_t violations = 0;
  std::map<v1::AdmissionClass, trial::ClassCount> classes;
  trial::ClassCount total;
  trial::TokenCount tokens;
  uint64_t log_appends = 0;
  uint64_t peer_messages = 0;
  uint64_t crashes = 0;
  uint64_t crashes_returned = 0;  ///< crashes whose tokens were released
  core::Duration return_time{};   ///< mean time from crash to release
};

/// @brief Runs one schedule on a fleet of 7 routers with load and audit.
class ScheduleRunner {
 public:
  ScheduleRunner(uint64_t seed,
                 const trial::LoadOptions& load,
                 const budget::SizingPolicy& sizing);

  /// @brief Starts the routers, then the load.
  void Start();
  /// @brief Advances virtual time and checks the invariants regularly.
  void Run(core::Duration duration);
  /// @brief Stops new requests, waits for those in progress and counts.
  Outcome Finish();

  void TopUp(size_t budget, core::Tokens tokens);
  void SetLog(size_t node, bool up) { m_fleet.log_link(node).up = up; }
  void Kill(size_t node);
  trial::Fleet& fleet() { return m_fleet; }

 private:
  /// An incarnation that was killed.
  struct Crash {
    core::RouterId router;
    core::Incarnation incarnation;
    core::TimePoint at;
    bool returned = false;
  };

  void Check();
  void CountOverspend();
  void UpdateCrashes();
  core::Tokens ReleasedTokens(const Crash& crash) const;

  trial::Fleet m_fleet;
  trial::Audit m_audit;
  trial::LoadOptions m_load_options;
  trial::LoadGenerator m_load;
  Outcome m_outcome;
  std::vector<Crash> m_crashes;
  size_t m_executions_seen = 0;
  std::unordered_map<core::BudgetId, int64_t> m_used;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_BUDGET_SCHEDULE_RUNNER_H_
