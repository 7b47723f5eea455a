#include <algorithm>  // max
#include <string>     // string

#include "bench/routing/scenarios.h"
#include "bench/routing/workload.h"

namespace coppervalve::bench {

namespace {

struct NamedPolicy {
  std::string name;
  PolicyMaker make;
  double min_hits = 0;  ///< bounds of the prefix scenario
  double max_imbalance = 0;
  double max_wait = 0;
};

std::vector<NamedPolicy> Policies() {
  return {
      {"ordered_criteria",
       [](const routing::RandomSource&) { return routing::OrderedCriteria(); },
       0.65, 1.9, 40},
      {"least_of_two", routing::LeastOfTwo, 0.3, 1.4, 4},
  };
}

routing::PlacementPolicy MakePrefixAffine(routing::RandomSource random) {
  return routing::PrefixAffine({}, std::move(random));
}

routing::PlacementPolicy MakeRoundRobin(const routing::RandomSource&) {
  return routing::RoundRobin();
}

struct PlacementResult {
  double imbalance = 0;
  double hit_ratio = 0;
  double wait_p99 = 0;
};

PlacementResult RunPlacement(const FleetOptions& options,
                             double load,
                             uint64_t prefixes) {
  constexpr int64_t kWarmUp = 10 * kStepsPerSecond;
  constexpr int64_t kSteps = 60 * kStepsPerSecond;
  constexpr int64_t kSampleEvery = 20;
  constexpr double kMeanSteps = 60 + 2;
  Fleet fleet(options);
  Workload workload(fleet, 17);
  const Stream stream{"chat",
                      v1::INTERACTIVE,
                      CapacityPerStep(options, kMeanSteps) * load,
                      20,
                      100,
                      10 * kStepsPerSecond,
                      prefixes};
  double sum = 0;
  int samples = 0;
  while (fleet.now() < kSteps) {
    fleet.Step();
    workload.Offer(stream);
    if (fleet.now() < kWarmUp || fleet.now() % kSampleEvery != 0) {
      continue;
    }
    sum += fleet.Imbalance();
    ++samples;
  }
  uint64_t hits = 0;
  uint64_t lookups = 0;
  for (const Engine& engine : fleet.engines()) {
    hits += engine.prefix_hits();
    lookups += engine.prefix_lookups();
  }
  PlacementResult result;
  result.imbalance = sum / samples;
  result.wait_p99 = Percentile(fleet.OutcomeOf(v1::INTERACTIVE).waits, 0.99);
  if (lookups > 0) {
    result.hit_ratio = static_cast<double>(hits) / static_cast<double>(lookups);
  }
  return result;
}

/// Two of twelve engines run at half speed, as with a noisy neighbor.
FleetOptions UnevenFleet(size_t report_lag_steps, PolicyMaker policy) {
  FleetOptions options;
  options.engines[0].speed = 0.5;
  options.engines[1].speed = 0.5;
  options.report_lag_steps = report_lag_steps;
  options.policy = std::move(policy);
  return options;
}

}  // namespace

void MeasureImbalance(Figures& figures) {
  constexpr double kLoad = 0.7;
  for (const size_t lag_seconds : {0U, 1U, 5U}) {
    const size_t lag = lag_seconds * kStepsPerSecond;
    const std::string suffix =
        "_reports_" + std::to_string(lag_seconds) + "s_late";
    const PlacementResult round_robin =
        RunPlacement(UnevenFleet(lag, MakeRoundRobin), kLoad, 0);
    PlacementResult least_of_two;
    for (const NamedPolicy& policy : Policies()) {
      const PlacementResult result =
          RunPlacement(UnevenFleet(lag, policy.make), kLoad, 0);
      figures.Report("imbalance_" + policy.name + suffix, result.imbalance,
                     "ratio", BoundKind::kAtMost, 1.4, round_robin.imbalance);
      figures.Report("wait_p99_" + policy.name + suffix, result.wait_p99,
                     "steps", BoundKind::kAtMost, 4, round_robin.wait_p99);
      least_of_two = result;
    }
    FleetOptions report_only = UnevenFleet(lag, routing::LeastOfTwo);
    report_only.count_own_attempts = false;
    const PlacementResult report_only_result =
        RunPlacement(report_only, kLoad, 0);
    figures.Report("imbalance_counting_own" + suffix, least_of_two.imbalance,
                   "ratio", BoundKind::kAtMost, 1.4,
                   report_only_result.imbalance);
  }
}

void MeasurePrefixHits(Figures& figures) {
  constexpr double kLoad = 0.6;
  constexpr uint64_t kPrefixes = 400;
  const auto run = [](PolicyMaker policy) {
    FleetOptions options;
    options.report_lag_steps = kStepsPerSecond;
    options.policy = std::move(policy);
    return RunPlacement(options, kLoad, kPrefixes);
  };
  const PlacementResult round_robin = run(MakeRoundRobin);
  std::vector<NamedPolicy> policies = Policies();
  policies.push_back({"prefix_affine", MakePrefixAffine, 0.75, 1.65, 6});
  for (const NamedPolicy& policy : policies) {
    const PlacementResult result = run(policy.make);
    figures.Report("prefix_hits_" + policy.name, result.hit_ratio, "share",
                   BoundKind::kAtLeast, policy.min_hits, round_robin.hit_ratio);
    figures.Report("prefix_imbalance_" + policy.name, result.imbalance, "ratio",
                   BoundKind::kAtMost, policy.max_imbalance,
                   round_robin.imbalance);
    figures.Report("prefix_wait_p99_" + policy.name, result.wait_p99, "steps",
                   BoundKind::kAtMost, policy.max_wait, round_robin.wait_p99);
  }
}

void MeasureDecisionCost(Figures& figures) {
  constexpr size_t kUpstreams = 10'000;
  constexpr int kDecisions = 2'000;
  std::vector<routing::UpstreamInfo> infos(kUpstreams);
  for (size_t index = 0; index < kUpstreams; ++index) {
    infos[index].id = core::UpstreamId(std::to_string(index));
    infos[index].models.emplace_back("chat");
  }
  routing::UpstreamTable table({}, Seeded(1));
  table.SetUpstreams(infos);
  // A third of the upstreams is leaving, so windows must extend past them.
  for (size_t index = 0; index < kUpstreams; index += 3) {
    table.SetLeaving(infos[index].id, true);
  }
  const routing::Placement placement({}, routing::DefaultPolicy(Seeded(2)),
                                     Seeded(3), {});
  const routing::CandidateSet& set =
      table.CandidatesFor({core::ModelId("chat"), {}}, {}, {});
  const routing::RandomSource random = Seeded(4);
  size_t max_considered = 0;
  for (int i = 0; i < kDecisions; ++i) {
    routing::PlacementRequest request;
    request.affinity = random();
    const routing::PlacementDecision decision =
        placement.Choose(table, set, request, {});
    max_considered = std::max(max_considered, decision.considered);
    table.OnDispatch(*decision.upstream);
  }
  figures.Report("candidates_considered_of_10000",
                 static_cast<double>(max_considered), "count",
                 BoundKind::kAtMost, 256, kUpstreams);
}

}  // namespace coppervalve::bench
