#ifndef COPPERVALVE_TRIAL_CHAOS_H_
#define COPPERVALVE_TRIAL_CHAOS_H_

#include <cstdint>  // uint64_t
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/core/units.h"
#include "coppervalve/trial/audit.h"
#include "coppervalve/trial/fleet.h"
#include "coppervalve/trial/load_generator.h"

namespace coppervalve::trial {

/// @brief Length of a random run and rate of its faults.
struct ChaosOptions {
  uint64_t seed = 1;
  core::Duration fault_duration = std::chrono::seconds(90);
  core::Duration recovery_duration = std::chrono::seconds(60);
  core::Duration mean_fault_interval =
      std::chrono::seconds(2);  ///< between faults
  int64_t prepaid = 60'000;
  uint64_t log_retain = 0;
};

/// @brief Result of a random run.
struct ChaosResult {
  std::vector<Violation> violations;
  std::vector<std::string> trace;  ///< faults in order, with their times
  ClassCount total;
  TokenCount tokens;
  uint64_t log_appends = 0;
  uint64_t orders_applied = 0;  ///< at engines
  uint64_t retirements = 0;
};

/// @brief Runs a fleet of 7 routers under random faults and checks all
/// invariants every 100 ms of virtual time. The same options give the same run.
ChaosResult RunChaos(const ChaosOptions& options);

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_CHAOS_H_
