#ifndef COPPERVALVE_TOOLS_LOAD_UPSTREAM_USAGE_H_
#define COPPERVALVE_TOOLS_LOAD_UPSTREAM_USAGE_H_

#include <boost/json/object.hpp>
#include <cstdint>  // int64_t
#include <map>      // map
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::load {

/// @brief One run of a request, as its upstream recorded it.
struct UpstreamRun {
  std::string upstream;
  std::string request_id;
  std::string account;
  std::string key;
  core::Tokens work;  ///< prompt and output tokens; 0 for a plain service
  core::Tokens cost;  ///< tokens charged to the budget
  bool whole = false;
  bool at_service = false;
  bool changes_state = false;  ///< a call with a method other than GET or HEAD
};

/// @brief Runs on all upstreams, according to their records.
struct UpstreamUsage {
  std::vector<UpstreamRun> runs;
  /// Upstreams whose records could not be read; their usage is not counted.
  std::vector<std::string> missing;
  /// Runs interrupted by a crash of their engine: their start was recorded, but
  /// not the number of tokens produced.
  size_t begun_only = 0;
};

/// @brief Reads the records of every upstream of a configuration.
/// @param record_folder holds "<upstream>.jsonl" of upstreams that have
/// exited; may be empty
UpstreamUsage ReadUpstreamUsage(const v1::Configuration& configuration,
                                const std::string& record_folder);

/// @return tokens used by the accounts of each budget
std::map<std::string, core::Tokens> UsageByBudget(
    const v1::Configuration& configuration,
    const UpstreamUsage& usage);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_UPSTREAM_USAGE_H_
