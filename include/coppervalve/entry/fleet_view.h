#ifndef COPPERVALVE_ENTRY_FLEET_VIEW_H_
#define COPPERVALVE_ENTRY_FLEET_VIEW_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t
#include <map>      // map
#include <set>      // set
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief Where a router is reached.
struct RouterAddresses {
  std::string callers;  ///< "ip:port"
  std::string loads;    ///< for datagrams of other routers; empty = none
};

inline bool operator==(const RouterAddresses& a, const RouterAddresses& b) {
  return a.callers == b.callers && a.loads == b.loads;
}

/// @brief What a standby needs to know of the fleet, as a router that reads all
/// heartbeats sees it.
struct FleetView {
  std::map<core::RouterId, RouterAddresses> active;
  /// Standbys that become active first.
  std::set<core::RouterId> next;
  uint32_t live = 0;
  /// Routers that were live recently.
  uint32_t known = 0;
  /// Number of upstreams in the table.
  size_t upstreams = 0;
  /// Requests that are refused because upstreams crashed under them.
  std::vector<v1::CrashCase> crashes;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_FLEET_VIEW_H_
