#ifndef COPPERVALVE_ENTRY_START_SPREAD_H_
#define COPPERVALVE_ENTRY_START_SPREAD_H_

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What is known about a router that starts.
struct StartConditions {
  double capacity = 0;  ///< requests per second, as in its heartbeats
  /// Heartbeats that routers write at present.
  double heartbeats_per_second = 0;
  /// Shared by all readers of the store; 0 = unknown.
  double store_bytes_per_second = 0;
};

/// @brief Times after a start between which a router begins to read.
struct StartSpread {
  core::Duration configuration;  ///< begins before
  core::Duration heartbeats;     ///< begins after `configuration`, before this
};

/// @return whether the router is as capable as those that become active
bool StartsAtOnce(const v1::FleetFacts& facts, double capacity);

/// @brief Spreads the starts of the routers of a large fleet after a loss of
/// power.
///
/// A start reads the configuration and the newest heartbeats of all routers. If
/// a thousand routers did so at the same moment, the store would be busy for
/// longer than the fleet has to return, and the few that callers are directed
/// to would wait behind all others. So those start at once, and the others
/// within the time in which the store can serve them, shortened by the part of
/// the fleet that is running.
StartSpread SpreadOfStart(const v1::FleetFacts& facts,
                          const StartConditions& conditions);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_START_SPREAD_H_
