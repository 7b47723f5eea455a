#ifndef COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_
#define COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "bench/budget/stage.h"
#include "coppervalve/trial/load.h"

namespace coppervalve::bench {

/// @brief Most wishes of each class that may be lost.
struct LostBounds {
  double gate = 0;
  double interactive = 0;
  double batch = 0;
};

/// @brief Bounds of what a schedule may come to under the default policy. The
/// virtual run repeats exactly, so a bound is the measured figure and a margin
/// for changes that are meant.
struct ScheduleBounds {
  LostBounds lost;            ///< wishes
  double whole = 0;           ///< wishes, at least
  double false_ends = 0;      ///< wishes
  double false_refusals = 0;  ///< tickets
  double stranded = 0;        ///< tokens
  double appends = 0;         ///< per thousand wishes
  double peer_messages = 0;   ///< per thousand wishes
  double fewer_losses = 0;    ///< at least, than the baseline; 0: no bound
  double crash_stranded = 0;  ///< tokens per crash
  double crash_return = 0;    ///< seconds
};

/// @brief Load and faults over virtual time.
struct Schedule {
  std::string name;
  uint64_t seed = 1;
  trial::LoadOptions load;
  std::function<void(Stage&)> play;
  ScheduleBounds bounds;
};

/// @brief The standard schedules, in the order of docs/BUDGETS.md.
std::vector<Schedule> StandardSchedules();

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_BUDGET_SCHEDULES_H_
