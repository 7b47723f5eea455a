#ifndef COPPERVALVE_TESTS_ROUTING_ROUTING_FIXTURE_H_
#define COPPERVALVE_TESTS_ROUTING_ROUTING_FIXTURE_H_

#include <cstdint>  // uint64_t
#include <memory>   // make_shared
#include <string>   // string, to_string
#include <vector>   // vector

#include "coppervalve/routing/placement.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/upstream_table.h"
#include "pcg_random.hpp"

namespace coppervalve::routing::testing {

/// @brief Returns a seeded source of randomness.
inline RandomSource Seeded(uint64_t seed) {
  auto engine = std::make_shared<pcg64>(seed);
  return [engine] { return (*engine)(); };
}

inline core::TimePoint At(int64_t milliseconds) {
  return core::TimePoint(core::Duration(milliseconds * 1000));
}

inline core::Duration Millis(int64_t milliseconds) {
  return core::Duration(milliseconds * 1000);
}

inline core::UpstreamId EngineId(int number) {
  return core::UpstreamId("engine-" + std::to_string(number));
}

/// @brief Returns `count` engines that serve the model "chat" in three failure
/// domains.
inline std::vector<UpstreamInfo> Engines(int count) {
  std::vector<UpstreamInfo> engines;
  for (int number = 0; number < count; ++number) {
    UpstreamInfo info;
    info.id = EngineId(number);
    info.address = "10.0.0." + std::to_string(number) + ":80";
    info.failure_domain =
        core::FailureDomainId("fd" + std::to_string(number % 3));
    info.models.emplace_back("chat");
    engines.push_back(info);
  }
  return engines;
}

inline WorkTarget Chat() {
  return {core::ModelId("chat"), {}};
}

/// @brief Options for the tests, independent of the defaults that bench/routing
/// covers.
inline UpstreamTableOptions TestOptions() {
  UpstreamTableOptions options;
  options.limit.initial = 16;
  options.health.max_probe_interval = Millis(4000);
  options.report_weight = 1;
  return options;
}

/// @brief The upstream table and placement of one router.
struct RouterView {
  explicit RouterView(int engines,
                      uint64_t seed = 1,
                      const PlacementPolicy& policy = nullptr)
      : table(TestOptions(), Seeded(seed)),
        placement({},
                  policy ? policy : DefaultPolicy(Seeded(seed + 1)),
                  Seeded(seed + 2),
                  core::FailureDomainId("fd0")) {
    table.SetUpstreams(Engines(engines));
  }

  PlacementDecision Choose(core::TimePoint now,
                           const PlacementRequest& request = {}) {
    const CandidateSet& set = table.CandidatesFor(Chat(), {}, {});
    return placement.Choose(table, set, request, now);
  }

  /// Ejects an engine by consecutive failures.
  void Eject(int number, core::TimePoint now) {
    for (uint32_t i = 0; i < HealthOptions{}.consecutive_failures; ++i) {
      table.OnDispatch(EngineId(number));
      table.OnFailed(EngineId(number), FailureKind::kError, now);
    }
  }

  UpstreamTable table;
  Placement placement;
};

}  // namespace coppervalve::routing::testing

#endif  // COPPERVALVE_TESTS_ROUTING_ROUTING_FIXTURE_H_
