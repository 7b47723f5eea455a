// Measures one placement by number of upstreams, and the check for due probes
// that every event performs.
#include "coppervalve/routing/placement.h"

#include <algorithm>  // max
#include <string>     // string, to_string
#include <vector>     // vector

#include "bench/capacity/allocations.h"
#include "bench/capacity/fleet_records.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::bench {

namespace {

constexpr size_t kPlacements = 2'000;
constexpr double kNanosecondsPerMicrosecond = 1e3;

std::vector<routing::UpstreamInfo> UpstreamsOf(size_t count) {
  std::vector<routing::UpstreamInfo> upstreams(count);
  for (size_t i = 0; i < count; ++i) {
    upstreams[i].id = core::UpstreamId(NumberedId("engine", i));
    upstreams[i].address = "10.0.0.1:8000";
    upstreams[i].kind = v1::MODEL_ENGINE;
    upstreams[i].failure_domain = FailureDomainOf(i);
    upstreams[i].models = {core::ModelId("model")};
    upstreams[i].max_concurrency = 64;
  }
  return upstreams;
}

}  // namespace

void MeasurePlacement(Figures& figures) {
  for (const size_t count : {size_t{12}, size_t{1'000}, size_t{10'000}}) {
    uint64_t random = 1;
    const routing::RandomSource hook = [&random] {
      random = random * 6364136223846793005ULL + 1442695040888963407ULL;
      return random;
    };
    routing::UpstreamTable table({}, hook);
    table.SetUpstreams(UpstreamsOf(count));
    const routing::Placement placement({}, routing::DefaultPolicy(hook), hook,
                                       FailureDomainOf(0));
    const routing::CandidateSet& candidates = table.CandidatesFor(
        {core::ModelId("model"), {}}, core::RuleId("rule"), {});
    const core::TimePoint now{};
    size_t most = 0;
    const uint64_t allocations = CountAllocations().calls;
    const int64_t start = ThreadCpuNanoseconds();
    for (size_t i = 0; i < kPlacements; ++i) {
      routing::PlacementRequest request;
      request.affinity = i;
      most = std::max(
          most, placement.Choose(table, candidates, request, now).considered);
    }
    const int64_t chosen = ThreadCpuNanoseconds();
    const uint64_t chosen_allocations = CountAllocations().calls;
    for (size_t i = 0; i < kPlacements; ++i) {
      (void)table.TakeProbesDue(now);
    }
    const int64_t probed = ThreadCpuNanoseconds();
    const std::string suffix = "_" + std::to_string(count);
    figures.CheckAtMost(
        "placement_allocations" + suffix,
        static_cast<double>(chosen_allocations - allocations) / kPlacements,
        "calls", 40);
    figures.CheckAtMost("placement_considered" + suffix,
                        static_cast<double>(most), "candidates", 256);
    figures.PrintUnbounded("placement_cpu" + suffix,
                           static_cast<double>(chosen - start) / kPlacements /
                               kNanosecondsPerMicrosecond,
                           "us");
    figures.PrintUnbounded("probes_due_cpu" + suffix,
                           static_cast<double>(probed - chosen) / kPlacements /
                               kNanosecondsPerMicrosecond,
                           "us");
  }
}

}  // namespace coppervalve::bench
