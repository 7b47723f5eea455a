#ifndef COPPERVALVE_BENCH_CEILING_SCHEDULE_H_
#define COPPERVALVE_BENCH_CEILING_SCHEDULE_H_

#include <functional>  // function
#include <string>      // string

#include "bench/ceiling/fleet.h"

namespace coppervalve::bench {

/// @brief A sequence of faults injected into a fleet.
struct Schedule {
  std::string name;
  std::function<void(Fleet&, const FleetOptions&)> run;
  double prepaid_ratio = FleetOptions{}.prepaid_ratio;
};

/// @brief Runs until `at`, then disconnects all routers from the log for
/// `span`; both in seconds.
void PartitionAll(Fleet& fleet,
                  const FleetOptions& options,
                  double at,
                  double span);

/// @brief Runs until `at` seconds, then ends all routers at once.
void KillAllAt(Fleet& fleet, double at, Fleet::End end);

/// @brief Number of seeds that RunAllSeeds() runs.
constexpr uint64_t kScheduleSeeds = 4;

/// @return the sum of the outcomes of all seeds
Outcome RunAllSeeds(const Schedule& schedule, Policy policy);

/// @return `part` of `whole`, per thousand
double PerThousand(double part, double whole);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_CEILING_SCHEDULE_H_
