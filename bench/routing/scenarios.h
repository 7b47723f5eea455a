#ifndef COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_
#define COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_

#include "bench/routing/figure.h"

namespace coppervalve::bench {

/// @brief Measures GATE requests while BATCH requests arrive at 1, 2 and 5
/// times the capacity.
void MeasureOverload(Figures& figures);
/// @brief Measures a small account beside a large account of the same class.
void MeasureAccountFairness(Figures& figures);
/// @brief Measures load imbalance by policy and delay of the load reports.
void MeasureImbalance(Figures& figures);
/// @brief Measures prefix cache hits by policy.
void MeasurePrefixHits(Figures& figures);
/// @brief Measures the candidates inspected per decision in a fleet of 10,000
/// upstreams.
void MeasureDecisionCost(Figures& figures);
/// @brief Measures the attempts during a full outage and the time to recover
/// from it.
void MeasureOutage(Figures& figures);
/// @brief Measures new requests at an upstream that is leaving.
void MeasureLeaving(Figures& figures);
/// @brief Measures how a fleet-wide rate limit is shared.
void MeasureRateLimiter(Figures& figures);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_SCENARIOS_H_
