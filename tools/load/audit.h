#ifndef COPPERVALVE_TOOLS_LOAD_AUDIT_H_
#define COPPERVALVE_TOOLS_LOAD_AUDIT_H_

#include <chrono>  // seconds
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::load {

struct AuditOptions {
  std::string log;                   ///< "ip:port"
  std::string record_folder;         ///< see ReadUpstreamUsage()
  std::vector<std::string> reports;  ///< reports of load runs
  /// Follows the log until this file exists, so that entries are read before
  /// they expire. When empty, reads only the entries retained now.
  std::string follow_until;
  std::chrono::seconds follow_limit{600};
};

/// @brief Totals of one budget: tokens paid in, tokens used according to the
/// upstreams, and tokens billed according to the log.
struct BudgetFinding {
  core::Tokens paid_in;
  core::Tokens used;
  core::Tokens billed;
  core::Tokens written_off;

  core::Tokens Overspend() const {
    return used > paid_in ? used - paid_in : core::Tokens(0);
  }
};

/// @brief Result of an audit. The first five must all be 0.
struct Findings {
  core::Tokens overspend;
  size_t billed_twice = 0;
  size_t ran_twice = 0;
  size_t wrong_answers = 0;
  /// Reported as "not run" at every attempt, but present in an upstream's
  /// records.
  size_t ran_after_not_run = 0;

  size_t answered = 0;
  size_t answered_unbilled = 0;  ///< complete, but not billed
  size_t answers_unproved = 0;   ///< complete, but in no record that was read
  size_t runs = 0;
  size_t begun_only = 0;             ///< see UpstreamUsage
  std::vector<std::string> missing;  ///< upstreams without records
  core::LogOffset started_at;
  core::LogOffset next_offset;
  std::map<std::string, BudgetFinding> budgets;

  /// @return whether all records were read and no violation was found
  bool IsClean() const;
};

/// @brief Compares the log, the upstreams' records and the load reports. The
/// fold is the only code it shares with the fleet.
/// @error those of reading the log, kMalformedJson, kConfigMissingField (no
/// configuration in force)
core::Result<Findings> Audit(const AuditOptions& options);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_AUDIT_H_
