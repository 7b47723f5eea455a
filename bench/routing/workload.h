#ifndef COPPERVALVE_BENCH_ROUTING_WORKLOAD_H_
#define COPPERVALVE_BENCH_ROUTING_WORKLOAD_H_

#include <cstdint>  // int64_t
#include <string>   // string

#include "bench/routing/fleet_model.h"

namespace coppervalve::bench {

/// @brief Jobs of one kind that arrive at a mean rate.
struct Stream {
  std::string account;
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  double jobs_per_step = 0;
  int64_t min_output = 1;
  int64_t max_output = 1;
  int64_t max_wait = 0;
  uint64_t prefixes = 0;  ///< prompt prefixes, Zipf-distributed; 0 = none
};

/// @brief Generates the arrivals of streams, spread over the routers of a
/// fleet.
class Workload {
 public:
  Workload(Fleet& fleet, uint64_t seed)
      : m_fleet(fleet), m_random(Seeded(seed)) {}

  /// @brief Adds the arrivals of one step.
  void Offer(const Stream& stream);

 private:
  uint64_t Prefix(uint64_t prefixes);

  Fleet& m_fleet;
  routing::RandomSource m_random;
};

/// @brief Jobs per step that the engines can serve when a job takes
/// `mean_steps`.
double CapacityPerStep(const FleetOptions& options, double mean_steps);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_WORKLOAD_H_
