#include "coppervalve/entry/heartbeat_rate.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// Standbys have little to report, so they write less often.
constexpr int kStandbyPeriodFactor = 4;
// Requests that arrive within this time share one claim. The delay is short
// compared with the latency objective of 250 ms.
constexpr core::Duration kMinExpeditedDelay{30'000};
// Share of the fleet's store writes that heartbeats may use.
constexpr double kHeartbeatShareOfWrites = 0.4;

// Time between writes of each router such that `routers` together stay within
// the share of heartbeats.
core::Duration IntervalPerRouter(uint32_t routers,
                                 const HeartbeatLimits& limits) {
  const double rate = limits.store_writes_per_second * kHeartbeatShareOfWrites;
  const double seconds = routers / std::max(rate, 1.0);
  return core::Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

// The write rate of the store is shared by the fleet, so the period grows with
// the number of routers.
core::Duration HeartbeatPeriod(const HeartbeatLimits& limits) {
  const core::Duration regular =
      limits.self_active ? kDefaultHeartbeatPeriod
                         : kDefaultHeartbeatPeriod * kStandbyPeriodFactor;
  return std::max(regular, IntervalPerRouter(limits.live, limits));
}

// After a loss routers have little headroom, so most requests trigger a claim
// at once. If hundreds of routers did so at the same time, the store would
// reject the writes and no claim would succeed. Spacing them by the number of
// active routers lets all claims succeed.
core::Duration ExpeditedDelay(const HeartbeatLimits& limits) {
  return std::max(kMinExpeditedDelay, IntervalPerRouter(limits.active, limits));
}

}  // namespace coppervalve::entry
