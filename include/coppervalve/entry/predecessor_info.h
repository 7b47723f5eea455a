#ifndef COPPERVALVE_ENTRY_PREDECESSOR_INFO_H_
#define COPPERVALVE_ENTRY_PREDECESSOR_INFO_H_

#include <optional>  // optional
#include <string>    // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Facts about a router's previous incarnation.
struct PredecessorInfo {
  std::string boot;  ///< boot ID of the VM; empty if unknown
  /// A time of the VM's clock by which the previous incarnation had certainly
  /// ended; nullopt if unknown.
  std::optional<core::TimePoint> ended_by;
};

/// @brief Whether the incarnation that wrote a record provably did not spend
/// the reserves in it.
/// @param last its newest record, read after its further writes were fenced
bool ReserveUntouched(const v1::RouterBeat& last,
                      const PredecessorInfo& predecessor);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PREDECESSOR_INFO_H_
