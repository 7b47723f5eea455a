#ifndef COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_
#define COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_

#include <string>  // string
#include <vector>  // vector

#include "coppervalve/core/result.h"
#include "tools/load/class_stats.h"

namespace coppervalve::load {

/// @brief Sources of the totals that false refusals are computed from.
struct FalseRefusalSource {
  std::string log;  ///< "ip:port"; empty: false refusals are not counted
  std::string record_folder;  ///< see ReadUpstreamUsage()
};

/// @brief Counts unnecessary refusals for lack of tokens and adds them to the
/// statistics.
///
/// Computed in hindsight: the tokens paid in minus the tokens that the
/// upstreams used by the end of the run were never spent, so the refused
/// requests could have used them, in chronological order. Tokens that were
/// reserved at the time and used later count as used.
/// @return upstreams whose records could not be read; the count may then be too
/// high
/// @error those of reading the log
core::Result<std::vector<std::string>> CountFalseRefusals(
    const FalseRefusalSource& source,
    std::vector<ClassStats>& class_stats);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_
