#ifndef COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_
#define COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "bench/budget/schedule_runner.h"
#include "coppervalve/trial/load_generator.h"

namespace coppervalve::bench {

/// @brief Highest allowed number of lost requests of each class.
struct LostBounds {
  double gate = 0;
  double interactive = 0;
  double batch = 0;
};

/// @brief Bounds on the figures of a schedule under the default policy. The
/// bench fails when a figure is outside its bound.
struct ScheduleBounds {
  LostBounds lost;                  ///< requests
  double complete = 0;              ///< requests, at least
  double false_final_refusals = 0;  ///< requests
  double false_refusals = 0;        ///< client attempts
  double stranded = 0;              ///< tokens
  double appends = 0;               ///< per thousand requests
  double peer_messages = 0;         ///< per thousand requests
  double min_loss_ratio = 0;  ///< lowest ratio to the baseline; 0: no bound
  double crash_stranded = 0;  ///< tokens per crash
  double crash_return = 0;    ///< seconds
};

/// @brief The load and the faults of one run in virtual time.
struct Schedule {
  std::string name;
  uint64_t seed = 1;
  trial::LoadOptions load;
  std::function<void(ScheduleRunner&)> execute;
  ScheduleBounds bounds;
};

/// @brief The standard schedules, in the order of docs/BUDGETS.md.
std::vector<Schedule> StandardSchedules();

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_
