#ifndef COPPERVALVE_BENCH_CEILING_SCHEDULE_H_
#define COPPERVALVE_BENCH_CEILING_SCHEDULE_H_

#include <functional>  // function
#include <string>      // string

#include "bench/ceiling/fleet.h"

namespace coppervalve::bench {

/// @brief What happens to a fleet.
struct Schedule {
  std::string name;
  std::function<void(Fleet&, const FleetOptions&)> play;
  double prepaid_ratio = FleetOptions{}.prepaid_ratio;
};

/// @brief Runs until `at`, then for `span` with no router reaching the log;
/// both in seconds.
void CutAll(Fleet& fleet, const FleetOptions& options, double at, double span);

/// @brief Runs until `at` seconds, then all routers end at once.
void LoseAll(Fleet& fleet, double at, Fleet::End end);

/// @brief How many seeds PlayAll() sums up.
constexpr uint64_t kScheduleSeeds = 4;

/// @return the sum of the outcomes of all seeds
Outcome PlayAll(const Schedule& schedule, Policy policy);

/// @return `part` of `whole`, per thousand
double PerThousand(double part, double whole);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_CEILING_SCHEDULE_H_
