#ifndef COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_
#define COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_

#include "bench/routing/figure.h"

namespace coppervalve::bench {

/// @brief Gate work while itineraries come at 1, 2 and 5 times the capacity.
void MeasureOverload(Figures& figures);
/// @brief One large and small accounts of one class.
void MeasureAccountFairness(Figures& figures);
/// @brief Load imbalance by policy and lag of the reports.
void MeasureImbalance(Figures& figures);
/// @brief Prefix cache hits by policy.
void MeasurePrefixHits(Figures& figures);
/// @brief Candidates looked at in a fleet of 10,000 upstreams.
void MeasureDecisionCost(Figures& figures);
/// @brief Attempts during a full outage, and the time to recover from it.
void MeasureOutage(Figures& figures);
/// @brief New work at an upstream that leaves.
void MeasureLeaving(Figures& figures);
/// @brief Shares of a fleet-wide rate limit.
void MeasureRateLimiter(Figures& figures);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_
