#include "coppervalve/entry/beat_rate.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// A standby has little to report.
constexpr int kStandbyPeriods = 4;
// Requests that wait for a claim share one. Short compared with the latency
// objective of 250 ms.
constexpr core::Duration kLeastGap{30'000};
// Share of the fleet's store writes that heartbeats may use.
constexpr double kShareOfWrites = 0.4;

// Time between writes of each router such that `routers` together stay within
// the share of heartbeats.
core::Duration EachOf(uint32_t routers, const BeatLimits& limits) {
  const double rate = limits.store_writes_per_second * kShareOfWrites;
  const double seconds = routers / std::max(rate, 1.0);
  return core::Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

// The write rate of the store is shared by the fleet, so the period grows with
// the number of routers.
core::Duration BeatPeriod(const BeatLimits& limits) {
  const core::Duration own = limits.self_active
                                 ? kQuietBeatPeriod
                                 : kQuietBeatPeriod * kStandbyPeriods;
  return std::max(own, EachOf(limits.live, limits));
}

// After a loss routers have little headroom, so most requests trigger a claim
// at once. If hundreds of routers did so at the same time, the store would
// reject the writes and no claim would succeed. Spacing them by the number of
// active routers lets all claims succeed.
core::Duration HurriedGap(const BeatLimits& limits) {
  return std::max(kLeastGap, EachOf(limits.active, limits));
}

}  // namespace coppervalve::entry
