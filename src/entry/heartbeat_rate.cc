#include "coppervalve/entry/heartbeat_rate.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// Standbys have little to report, so they write less often.
constexpr int kStandbyPeriodFactor = 4;
// Requests that arrive within this time share one claim. The delay is short
// compared with the latency objective of 250 ms.
constexpr core::Duration kMinExpeditedDelay{30'000};
// Share of the store's writes that the heartbeats of active routers may use,
// and as much again those of standbys.
constexpr double kHeartbeatShareOfWrites = 0.4;

// Bytes per second of heartbeats that every reader can receive. A connection to
// the store transfers more than twice as much, also over the link of a small
// VM.
constexpr double kReadableBytesPerSecond = 1e6;

core::Duration FromSeconds(double seconds) {
  return core::Duration(static_cast<int64_t>(seconds * 1e6));
}

// Time between writes of each router such that `routers` together stay within
// the share of heartbeats.
core::Duration IntervalPerRouter(uint32_t routers,
                                 const HeartbeatLimits& limits) {
  const double rate = limits.store_writes_per_second * kHeartbeatShareOfWrites;
  return FromSeconds(routers / std::max(rate, 1.0));
}

}  // namespace

// The write rate of the store is shared by the fleet, so the period grows with
// the number of routers. Active routers have a share of their own: there are
// few of them, and their claims must not become rarer as the fleet grows.
core::Duration HeartbeatPeriod(const HeartbeatLimits& limits) {
  if (limits.self_active) {
    return std::max(kDefaultHeartbeatPeriod,
                    IntervalPerRouter(limits.active, limits));
  }
  return std::max(kDefaultHeartbeatPeriod * kStandbyPeriodFactor,
                  IntervalPerRouter(limits.live, limits));
}

// After a loss routers have little headroom, so most requests trigger a claim
// at once. If hundreds of routers did so at the same time, the store would
// reject the writes and no claim would succeed. Spacing them by the number of
// active routers lets all claims succeed. With hundreds of accounts the records
// are large: if they were written faster than they can be read, readers would
// fall behind, and every claim would be granted too late.
core::Duration ExpeditedDelay(const HeartbeatLimits& limits) {
  const double bytes = limits.active * static_cast<double>(limits.record_bytes);
  return std::max({kMinExpeditedDelay, IntervalPerRouter(limits.active, limits),
                   FromSeconds(bytes / kReadableBytesPerSecond)});
}

core::Duration MaxSpreadDelay(const HeartbeatLimits& limits) {
  return limits.self_active ? core::Duration::zero()
                            : IntervalPerRouter(limits.live, limits);
}

}  // namespace coppervalve::entry
