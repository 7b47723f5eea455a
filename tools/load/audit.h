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
  std::string record_folder;         ///< see ReadUpstreamUse()
  std::vector<std::string> reports;  ///< of the load
  /// Reads the log along until this file is there, so that entries are seen
  /// before they expire; empty: reads what is retained now.
  std::string follow_until;
  std::chrono::seconds follow_limit{600};
};

/// @brief One budget by three accounts: what was paid, what the upstreams say
/// they did, and what the log says was billed.
struct BudgetFinding {
  core::Tokens paid_in;
  core::Tokens used;
  core::Tokens billed;
  core::Tokens written_off;

  core::Tokens Overspend() const {
    return used > paid_in ? used - paid_in : core::Tokens(0);
  }
};

/// @brief What an audit found. The first five must all be 0.
struct Findings {
  core::Tokens overspend;
  size_t billed_twice = 0;
  size_t ran_twice = 0;
  size_t wrong_answers = 0;
  /// Told "not run" at every attempt, and yet in an upstream's records.
  size_t ran_after_not_run = 0;

  size_t answered = 0;
  size_t answered_unbilled = 0;  ///< whole at its caller, billed to nobody
  size_t answers_unproved = 0;   ///< whole, but in no record that was read
  size_t runs = 0;
  size_t begun_only = 0;             ///< see UpstreamUse
  std::vector<std::string> missing;  ///< upstreams without records
  core::LogOffset started_at;
  core::LogOffset next_offset;
  std::map<std::string, BudgetFinding> budgets;

  /// @return whether all was read and nothing was found
  bool Clean() const;
};

/// @brief Joins the log, the upstreams' records and the reports of the load.
/// Shares only the fold with the fleet.
/// @error that of the log, kMalformedJson, kConfigMissingField (no
/// configuration in force)
core::Result<Findings> Audit(const AuditOptions& options);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_AUDIT_H_
