#ifndef COPPERVALVE_ENTRY_POLICY_H_
#define COPPERVALVE_ENTRY_POLICY_H_

#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/result.h"
#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/shedding.h"
#include "coppervalve/entry/upstream_senders.h"

namespace coppervalve::entry {

/// @brief Every mechanism of the decisions, with its constants. The defaults
/// ship. Not a setting of operators: experiments switch one part off by name,
/// so that its worth is measured without an edit of code.
struct Policy {
  AllocationOptions book;
  PlacementOptions placement;
  SheddingOptions shedding;
  WarmUpOptions warm_up;
  LimitOptions limit;
  bool gifts = true;  ///< ask other routers for tokens
  /// Lead callers to so many routers at least, the most capable; more where
  /// the load needs it.
  double least_active = 3;
  bool load_reports = true;  ///< count the work that other routers report
};

/// @brief Changes the defaults by "name=number" parts, divided by commas;
/// switches take 0 and 1, durations milliseconds.
/// @return kSettingBadValue with the part that was not understood
core::Result<Policy> ReadPolicy(std::string_view changes);

/// @return all names that ReadPolicy() takes
std::vector<std::string_view> PolicyNames();

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_POLICY_H_
