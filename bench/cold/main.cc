// Compares ways to share the capacity of cold and limited upstreams in the same
// scenarios: the load of the hottest one, how many are overloaded, and the
// share of served requests.
#include <cstdint>  // uint32_t, uint64_t
#include <cstdio>   // printf
#include <cstdlib>  // strtoull
#include <cstring>  // strcmp
#include <vector>   // vector

#include "tests/entry/upstream_fleet.h"

namespace {

using namespace coppervalve;
using entry::WarmUpOptions;
using entry::testing::FleetOutcome;
using entry::testing::NamedScenario;

struct WarmUpVariant {
  const char* name;
  WarmUpOptions options;
  double cold = entry::PlacementOptions().cold_cost;
};

std::vector<WarmUpVariant> WarmUpVariants() {
  WarmUpOptions none;
  none.enforce = false;
  WarmUpOptions equal;
  equal.all_live = true;
  WarmUpOptions few;
  WarmUpOptions one;
  one.max_senders = 1;
  WarmUpOptions more = few;
  more.allocated_share = 0.75;
  WarmUpOptions all = few;
  all.allocated_share = 1;
  WarmUpOptions sooner = few;
  sooner.settle_time = core::Duration(1'100'000);
  WarmUpOptions twelve = few;
  twelve.max_senders = 12;
  constexpr double kLast = 1e12;
  return {{"no limit", none, 0},
          {"no limit, cold last", none, kLast},
          {"equal share, all live", equal},
          {"six senders", few},
          {"six senders, cold like warm", few, 0},
          {"six senders, cold last", few, kLast},
          {"one sender", one},
          {"six, 0.75 given out", more},
          {"six, all given out", all},
          {"six, 1.1 s to settle", sooner},
          {"twelve senders", twelve}};
}

struct LimitVariant {
  const char* name;
  entry::LimitOptions options;
};

std::vector<LimitVariant> LimitVariants() {
  constexpr double kRouters = 24;
  entry::LimitOptions none;
  none.enforce = false;
  entry::LimitOptions each_alone;
  each_alone.allocated_share = kRouters;
  each_alone.max_senders = kRouters;
  each_alone.spare_senders = kRouters;
  entry::LimitOptions equal;
  equal.allocated_share = 1;
  equal.max_senders = kRouters;
  equal.spare_senders = kRouters;
  entry::LimitOptions few;
  entry::LimitOptions one;
  one.max_senders = 1;
  entry::LimitOptions fewer = few;
  fewer.spare_senders = 0;
  entry::LimitOptions more = few;
  more.allocated_share = 0.9;
  entry::LimitOptions all = few;
  all.allocated_share = 1;
  entry::LimitOptions six = few;
  six.max_senders = 6;
  return {{"no limit", none},
          {"each router for itself", each_alone},
          {"equal share", equal},
          {"few senders", few},
          {"one sender", one},
          {"few senders, none to spare", fewer},
          {"few senders, 0.9 given out", more},
          {"few senders, all given out", all},
          {"six senders at most", six}};
}

bool RunLimitScenarios(uint64_t seeds) {
  bool kept = true;
  for (const LimitVariant& variant : LimitVariants()) {
    std::printf("limits: %s\n", variant.name);
    for (NamedScenario one : entry::testing::LimitScenarios()) {
      one.scenario.limits = variant.options;
      const FleetOutcome outcome =
          entry::testing::SimulateFleet(one.scenario, seeds);
      std::printf(
          "  %-34s used %.2f  filled %.2f  end known after %4.1f s  "
          "served %.3f\n",
          one.name, outcome.limit_used, outcome.limit_utilisation,
          outcome.end_known_after,
          static_cast<double>(outcome.served) / outcome.asked);
      const bool is_default = std::strcmp(variant.name, "few senders") == 0;
      kept = kept && (!is_default || outcome.limit_used <= 1);
    }
  }
  return kept;
}

}  // namespace

int main(int argc, char** argv) {
  uint64_t seeds = 2;
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::strcmp(argv[i], "--seeds") == 0) {
      seeds = std::strtoull(argv[i + 1], nullptr, 10);
    }
  }
  constexpr uint32_t kBound = 26;
  bool kept = RunLimitScenarios(seeds);
  for (const WarmUpVariant& variant : WarmUpVariants()) {
    std::printf("%s\n", variant.name);
    for (NamedScenario one : entry::testing::ColdScenarios()) {
      one.scenario.warm_up = variant.options;
      one.scenario.placement.cold_cost = variant.cold;
      const FleetOutcome outcome =
          entry::testing::SimulateFleet(one.scenario, seeds);
      const uint32_t most = outcome.max_in_a_second;
      std::printf("  %-26s most %3u  fell over %4u  served %.3f\n", one.name,
                  most, outcome.overloaded,
                  static_cast<double>(outcome.served) / outcome.asked);
      const bool is_default = std::strcmp(variant.name, "six senders") == 0;
      kept = kept && (!is_default || most <= kBound);
    }
  }
  return kept ? 0 : 1;
}
