#include <string>  // string

#include "bench/routing/scenarios.h"
#include "bench/routing/workload.h"

namespace coppervalve::bench {

namespace {

constexpr int64_t kBurstSteps = 20 * kStepsPerSecond;
constexpr int64_t kRetryWindowSteps = 400 * kStepsPerSecond;
constexpr int64_t kGateWait = 2 * kStepsPerSecond;
constexpr int64_t kBatchWait = 60 * kStepsPerSecond;
constexpr double kGateShare = 0.1;  ///< of the capacity
constexpr int64_t kPrefill = 2;

Stream GateStream(double capacity_slots) {
  constexpr double kMeanSteps = 12 + kPrefill;
  return {"gate",    v1::GATE, capacity_slots * kGateShare / kMeanSteps, 4, 20,
          kGateWait, 0};
}

Stream ItineraryStream(double capacity_slots, double factor) {
  constexpr double kMeanSteps = 200 + kPrefill;
  return {"tours",    v1::BATCH, capacity_slots * factor / kMeanSteps, 100, 300,
          kBatchWait, 0};
}

struct OverloadResult {
  Outcome gate;
  Outcome itineraries;
  double gate_p50 = 0;
  double gate_p99 = 0;
  uint64_t lost = 0;
};

OverloadResult RunOverload(Management management, double factor) {
  FleetOptions options;
  options.management = management;
  options.retry_window_steps = kRetryWindowSteps;
  Fleet fleet(options);
  Workload workload(fleet, 11);
  const double slots = CapacityPerStep(options, 1);
  const Stream gate = GateStream(slots);
  const Stream itineraries = ItineraryStream(slots, factor);
  while (fleet.now() < kBurstSteps) {
    fleet.Step();
    workload.Offer(gate);
    workload.Offer(itineraries);
  }
  while (fleet.Unfinished() > 0 && fleet.now() < 2 * kRetryWindowSteps) {
    fleet.Step();
  }
  OverloadResult result{fleet.OutcomeOf(v1::GATE), fleet.OutcomeOf(v1::BATCH)};
  result.gate_p50 = Percentile(result.gate.waits, 0.5);
  result.gate_p99 = Percentile(result.gate.waits, 0.99);
  result.lost = fleet.Unfinished();
  return result;
}

}  // namespace

void MeasureOverload(Figures& figures) {
  struct Load {
    int factor;
    double max_itinerary_wait;
    double max_itinerary_refusals;
  };
  for (const auto& [factor, max_wait, max_refusals] :
       {Load{1, 1000, 0.01}, Load{2, 7000, 0.4}, Load{5, 23'000, 2.5}}) {
    const OverloadResult ours = RunOverload(Management::kFull, factor);
    const OverloadResult fifo = RunOverload(Management::kNoQueue, factor);
    const std::string at = "_at_" + std::to_string(factor) + "x";
    figures.Report("gate_wait_p50" + at, ours.gate_p50, "steps",
                   BoundKind::kAtMost, 2, fifo.gate_p50);
    figures.Report("gate_wait_p99" + at, ours.gate_p99, "steps",
                   BoundKind::kAtMost, 40, fifo.gate_p99);
    figures.Report("gate_finished" + at, ours.gate.FinishedShare(), "share",
                   BoundKind::kAtLeast, 0.99, fifo.gate.FinishedShare());
    figures.Report("itineraries_finished" + at,
                   ours.itineraries.FinishedShare(), "share",
                   BoundKind::kAtLeast, 0.99, fifo.itineraries.FinishedShare());
    figures.Report("itinerary_wait_p99" + at,
                   Percentile(ours.itineraries.waits, 0.99), "steps",
                   BoundKind::kAtMost, max_wait,
                   Percentile(fifo.itineraries.waits, 0.99));
    figures.Report("gate_refusals" + at,
                   ours.gate.PerRequest(ours.gate.refusals), "per_request",
                   BoundKind::kAtMost, 0.01,
                   fifo.gate.PerRequest(fifo.gate.refusals));
    figures.Report("itinerary_refusals" + at,
                   ours.itineraries.PerRequest(ours.itineraries.refusals),
                   "per_request", BoundKind::kAtMost, max_refusals,
                   fifo.itineraries.PerRequest(fifo.itineraries.refusals));
    figures.Report("requests_vanished" + at, static_cast<double>(ours.lost),
                   "count", BoundKind::kAtMost, 0,
                   static_cast<double>(fifo.lost));
  }
}

namespace {

constexpr int64_t kFairnessSteps = 40 * kStepsPerSecond;

Outcome RunSmallAccount(Management management) {
  FleetOptions options;
  options.management = management;
  Fleet fleet(options);
  Workload workload(fleet, 13);
  constexpr double kMeanSteps = 60 + kPrefill;
  const double capacity = CapacityPerStep(options, kMeanSteps);
  const Stream large{
      "large", v1::INTERACTIVE, capacity * 2, 20, 100, 10 * kStepsPerSecond, 0};
  const Stream small{
      "small", v1::INTERACTIVE, capacity * 0.1, 20, 100, 10 * kStepsPerSecond,
      0};
  while (fleet.now() < kFairnessSteps) {
    fleet.Step();
    workload.Offer(large);
    workload.Offer(small);
  }
  return fleet.OutcomeOf("small");
}

}  // namespace

void MeasureAccountFairness(Figures& figures) {
  const Outcome ours = RunSmallAccount(Management::kFull);
  const Outcome fifo = RunSmallAccount(Management::kNoQueue);
  figures.Report("small_account_finished", ours.FinishedShare(), "share",
                 BoundKind::kAtLeast, 0.95, fifo.FinishedShare());
  figures.Report("small_account_wait_p99", Percentile(ours.waits, 0.99),
                 "steps", BoundKind::kAtMost, 60, Percentile(fifo.waits, 0.99));
}

}  // namespace coppervalve::bench
