#ifndef COPPERVALVE_ENTRY_HEARTBEAT_RATE_H_
#define COPPERVALVE_ENTRY_HEARTBEAT_RATE_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Heartbeat period of an active router in a small fleet. What a crashed
/// process has spent is known up to about one period before the crash.
constexpr core::Duration kDefaultHeartbeatPeriod{600'000};

/// @brief Limits how often a router may write to the store.
struct HeartbeatLimits {
  /// Writes of the whole fleet that the store can process.
  double store_writes_per_second = 0;
  uint32_t live = 1;    ///< routers that write heartbeats
  uint32_t active = 1;  ///< active routers among them
  bool self_active = true;
  size_t record_bytes = 0;  ///< size of an active router's heartbeat
};

/// @return the regular time between heartbeats
core::Duration HeartbeatPeriod(const HeartbeatLimits& limits);

/// @return the minimum time between heartbeats of a router whose requests wait
/// for a claim
core::Duration ExpeditedDelay(const HeartbeatLimits& limits);

/// @return upper end of the random delay before a write that all routers make
/// for the same reason, such as the return of the store; 0 for active routers,
/// for which callers wait
core::Duration MaxSpreadDelay(const HeartbeatLimits& limits);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_HEARTBEAT_RATE_H_
