#ifndef COPPERVALVE_TESTS_ENTRY_UPSTREAM_FLEET_H_
#define COPPERVALVE_TESTS_ENTRY_UPSTREAM_FLEET_H_

#include <cstdint>   // uint32_t, uint64_t
#include <deque>     // deque
#include <map>       // map
#include <memory>    // unique_ptr
#include <optional>  // optional
#include <queue>     // priority_queue
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/entry/placement.h"

namespace coppervalve::entry::testing {

/// @brief Parameters of a simulation: engines with little capacity under load
/// while routers disagree.
struct FleetScenario {
  uint64_t seed = 1;
  WarmUpOptions warm_up;
  LimitOptions limits;
  PlacementOptions placement;
  /// Number of engines, of 60, that send a limit from 0 s to 12 s.
  uint32_t limited = 0;
  double per_second = 2;     ///< that limit
  bool many_active = false;  ///< callers use most routers, not a few
  /// Number of engines, of 60, that terminate at 3 s and restart cold at 6 s.
  uint32_t back_cold = 48;
  /// The engines become cold without a restart.
  bool in_place = false;
  double hot_share = 0.3;  ///< share of requests with one common prefix
  double load_factor = 1;  ///< factor on the load from 5 s on
  /// Share of routers disconnected from the store and from each other.
  double disconnected_share = 0;
  double disconnect_at = 4;
  /// Share of routers down from a random time on, for 0.7 s.
  double killed_share = 0;
};

/// @brief Results for callers and upstreams from 3 s to 12 s, and until 20 s
/// for the end of limits.
struct FleetOutcome {
  uint32_t max_in_a_second = 0;  ///< at one cold upstream, from all routers
  uint32_t overloaded = 0;       ///< upstreams that were overloaded while cold
  uint32_t asked = 0;
  uint32_t served = 0;
  /// Maximum over all limited upstreams of the requests in 4 s from routers
  /// that know the limit, relative to what the limit allows; from 3 s on.
  double limit_used = 0;
  /// Mean requests per second at a limited upstream, relative to its limit.
  double limit_utilisation = 0;
  /// Seconds after the end of limits until all routers knew; 8 if never.
  double end_known_after = 0;
};

/// @brief Runs the scenario with the seeds 1, 2, 3...
/// @return the maxima of `max_in_a_second`, `limit_used` and `end_known_after`,
/// the mean of `limit_utilisation`, and the sums of the rest
FleetOutcome SimulateFleet(FleetScenario scenario, uint64_t seeds);

/// @brief A scenario and its distinguishing difficulty.
struct NamedScenario {
  const char* name;
  FleetScenario scenario;
};
std::vector<NamedScenario> ColdScenarios();
std::vector<NamedScenario> LimitScenarios();

}  // namespace coppervalve::entry::testing

#endif  // COPPERVALVE_TESTS_ENTRY_UPSTREAM_FLEET_H_
