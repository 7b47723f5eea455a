#ifndef COPPERVALVE_TOOLS_LOAD_UPSTREAM_USE_H_
#define COPPERVALVE_TOOLS_LOAD_UPSTREAM_USE_H_

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
struct Run {
  std::string upstream;
  std::string request_id;
  std::string account;
  std::string key;
  core::Tokens work;  ///< prompt and output; none at a plain service
  core::Tokens cost;  ///< work in tokens of the budget
  bool whole = false;
  bool at_service = false;
  bool changes_state = false;  ///< a call other than a lookup
};

/// @brief What the upstreams ran, by their own records.
struct UpstreamUse {
  std::vector<Run> runs;
  /// Upstreams whose records could not be had: their use is not counted.
  std::vector<std::string> missing;
  /// Runs that their engine's death cut off: it wrote down their begin, but
  /// not how many tokens it had made of them.
  size_t begun_only = 0;
};

/// @brief Reads the records of every upstream of a configuration.
/// @param record_folder holds "<upstream>.jsonl" of those that have died; may
/// be empty
UpstreamUse ReadUpstreamUse(const v1::Configuration& configuration,
                            const std::string& record_folder);

/// @return tokens that each budget's accounts used
std::map<std::string, core::Tokens> UseByBudget(
    const v1::Configuration& configuration,
    const UpstreamUse& use);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_UPSTREAM_USE_H_
