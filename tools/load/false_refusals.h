#ifndef COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_
#define COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_

#include <string>  // string
#include <vector>  // vector

#include "coppervalve/core/result.h"
#include "tools/load/tally.h"

namespace coppervalve::load {

/// @brief Where a judge that knows the whole run finds its totals.
struct ClairvoyantSource {
  std::string log;            ///< "ip:port"; empty: nothing is judged
  std::string record_folder;  ///< see ReadUpstreamUse()
};

/// @brief Counts refusals for lack of tokens that need not have been, and adds
/// them to the tallies.
///
/// Compared with a judge who knows the whole run: what was paid in less what
/// the upstreams used by the end is tokens that nobody spent, and the refused
/// requests, in the order of time, could have had them. Tokens that were
/// reserved at the time and used later count as used.
/// @return upstreams whose records could not be had; the count may then be too
/// high
/// @error that of the log
core::Result<std::vector<std::string>> JudgeRefusals(
    const ClairvoyantSource& source,
    std::vector<Tally>& tallies);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_FALSE_REFUSALS_H_
