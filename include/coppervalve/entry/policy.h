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

/// @brief The constants of all routing decisions. Production uses the defaults.
/// These are not operator settings: experiments change or disable single
/// mechanisms by name, to measure their effect without a code change.
struct Policy {
  AllocationOptions book;
  PlacementOptions placement;
  SheddingOptions shedding;
  WarmUpOptions warm_up;
  LimitOptions limit;
  bool gifts = true;  ///< request tokens from other routers
  /// Minimum number of routers that callers are directed to, by capacity; more
  /// are used if the load requires it.
  double least_active = 3;
  /// The size of the fleet is known when no router was seen for the first time
  /// within this time.
  core::Duration settle{1'000'000};
  /// Take the load reports of other routers into account.
  bool load_reports = true;
};

/// @brief Parses changes to the defaults: comma-separated "name=number" parts.
/// Switches take 0 and 1, durations milliseconds.
/// @return kSettingBadValue with the part that is not valid
core::Result<Policy> ParsePolicy(std::string_view changes);

/// @return all names that ParsePolicy() accepts
std::vector<std::string_view> PolicyNames();

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_POLICY_H_
