#ifndef BENCH_CAPACITY_MEASURES_H_
#define BENCH_CAPACITY_MEASURES_H_

#include "bench/capacity/figure.h"

/// One function per topic; each runs independently and prints its figures.
namespace coppervalve::bench {

/// @brief Rates and costs that the control summary is computed from.
struct ControlInputs {
  double heartbeats_per_second = 0;
  double heartbeat_bytes = 0;
  double fold_us_per_entry = 0;
  double fold_us_per_spend_record = 0;
  double checkpoint_us = 0;
  double idle_event_us = 0;       ///< of an event that requires no work
  double request_core_share = 0;  ///< for its share of the requests
  double upkeep_core_share = 0;   ///< for ticks, peers and appends meanwhile
  double appends_per_second = 0;  ///< of one router under its share
  double append_bytes_per_second = 0;
  double records_per_second = 0;
  double raise_bytes_per_second = 0;
  double configuration_bytes = 0;
  double configuration_us = 0;  ///< for a core to apply one
};

void MeasureMemory(Figures& figures);
void MeasureFold(Figures& figures, ControlInputs& inputs);
void MeasureContacts(Figures& figures, ControlInputs& inputs);
void MeasureIdle(Figures& figures, ControlInputs& inputs);
void MeasureRequests(Figures& figures, ControlInputs& inputs);
void MeasureChanges(Figures& figures, ControlInputs& inputs);
void MeasureRules(Figures& figures);
void MeasurePlacement(Figures& figures);
/// @brief Computes a node's control cost from the other measurements.
void ReportControl(Figures& figures, const ControlInputs& inputs);

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_MEASURES_H_
