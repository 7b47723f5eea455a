#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <map>        // map

#include "coppervalve/core/hash.h"
#include "routing_fixture.h"

using namespace coppervalve;
using namespace coppervalve::routing;
using namespace coppervalve::routing::testing;

namespace {

constexpr int kEngines = 12;

uint32_t HighestInProgress(const RouterView& view, int engines) {
  uint32_t highest = 0;
  for (int number = 0; number < engines; ++number) {
    highest = std::max(highest, view.table.InProgress(EngineId(number)));
  }
  return highest;
}

}  // namespace

// clang-format off
TEST_GROUP(Placement){};
// clang-format on

TEST(Placement, own_dispatches_count_between_load_reports) {
  // Every engine but one reports a load of 20, and then no report arrives for a
  // while. A router that used the reports alone would send all of its next 100
  // requests to the idle engine and overload it.
  for (const PlacementPolicy& policy :
       {LeastOfTwo(Seeded(7)), OrderedCriteria(), DefaultPolicy(Seeded(8))}) {
    RouterView view(kEngines, 1, policy);
    for (int number = 1; number < kEngines; ++number) {
      view.table.OnLoad(EngineId(number), {20, 0}, At(0));
    }
    for (int i = 0; i < 100; ++i) {
      const PlacementDecision decision = view.Choose(At(i));
      CHECK(decision.upstream.has_value());
      view.table.OnDispatch(*decision.upstream);
    }
    CHECK(HighestInProgress(view, kEngines) <= 28);
  }
}

TEST(Placement, a_prefix_stays_with_its_owner_up_to_the_load_bound) {
  // Many requests with one prompt prefix share the prefix cache of one engine.
  // Once the load of that engine is clearly above the mean, the next in rank
  // takes over, so that affinity does not create a hot spot.
  RouterView view(kEngines);
  PlacementRequest request;
  request.affinity = core::Hash64("tours assistant, school party");
  const PlacementDecision first = view.Choose(At(0), request);
  CHECK(first.reason == ChoiceReason::kPrefixOwner);
  view.table.OnDispatch(*first.upstream);
  CHECK(view.Choose(At(1), request).upstream == first.upstream);
  for (int i = 0; i < 60; ++i) {
    view.table.OnDispatch(*view.Choose(At(2), request).upstream);
  }
  CHECK(HighestInProgress(view, kEngines) <= 9);
  CHECK(view.Choose(At(3), request).reason == ChoiceReason::kPrefixOverflow);
}

TEST(Placement, an_added_upstream_moves_few_prefixes) {
  RouterView before(kEngines);
  RouterView after(kEngines + 1);
  int moved = 0;
  constexpr int kPrefixes = 1000;
  for (int i = 0; i < kPrefixes; ++i) {
    PlacementRequest request;
    request.affinity = core::Hash64(std::to_string(i));
    const auto old_owner = before.Choose(At(0), request).upstream;
    moved += old_owner != after.Choose(At(0), request).upstream ? 1 : 0;
  }
  CHECK(moved < kPrefixes * 2 / (kEngines + 1));
}

TEST(Placement, a_large_fleet_is_not_scanned_whole) {
  constexpr int kLargeFleet = 10'000;
  RouterView view(kLargeFleet);
  std::map<std::string, int> times;
  PlacementRequest request;
  for (int i = 0; i < 2000; ++i) {
    request.affinity = i % 2 == 0 ? core::Hash64(std::to_string(i)) : 0;
    const PlacementDecision decision = view.Choose(At(0), request);
    CHECK(decision.considered <= PlacementOptions{}.max_scan);
    ++times[decision.upstream->value()];
  }
  CHECK(times.size() > 1500);
}

TEST(Placement, a_tried_upstream_is_reused_only_when_no_other_is_usable) {
  RouterView view(2);
  PlacementRequest request;
  request.exclude = {EngineId(0)};
  for (int i = 0; i < 50; ++i) {
    CHECK(view.Choose(At(0), request).upstream == EngineId(1));
  }
  view.Eject(1, At(0));
  CHECK(view.Choose(At(0), request).upstream == EngineId(0));
}

TEST(Placement, the_reason_distinguishes_busy_ejected_and_unconfigured) {
  RouterView view(1);
  for (int i = 0; i < 64; ++i) {
    view.table.OnDispatch(EngineId(0));
  }
  CHECK(view.Choose(At(0)).reason == ChoiceReason::kAllBusy);
  view.Eject(0, At(0));
  CHECK(view.Choose(At(0)).reason == ChoiceReason::kNoneAlive);
  const CandidateSet none;
  CHECK(view.placement.Choose(view.table, none, {}, At(0)).reason ==
        ChoiceReason::kNoCandidate);
}

TEST(Placement, ordered_criteria_take_precedence_over_preference) {
  // The example of the Best Copy Selection paper: the candidate that meets an
  // earlier criterion is chosen, although another one is first in the sorted
  // list.
  RouterView view(3, 1, OrderedCriteria());
  view.table.OnLoad(EngineId(0), {40, 0}, At(0));
  view.table.OnLoad(EngineId(1), {10, 8}, At(0));
  view.table.OnLoad(EngineId(2), {50, 0}, At(0));
  const PlacementDecision decision = view.Choose(At(1));
  CHECK(decision.upstream == EngineId(1));
  CHECK(decision.reason == ChoiceReason::kCriterion);
  LONGS_EQUAL(5, decision.criterion);
}

TEST(Placement, a_rule_that_lists_upstreams_restricts_the_candidates) {
  RouterView view(4);
  const std::vector<core::UpstreamId> allowed{EngineId(1), EngineId(3),
                                              core::UpstreamId("unknown")};
  const core::RuleId rule("tours");
  LONGS_EQUAL(2, view.table.CandidatesFor(Chat(), rule, allowed).size());
  const WorkTarget unknown{core::ModelId("other"), {}};
  CHECK(view.table.CandidatesFor(unknown, rule, allowed).empty());
  view.table.SetUpstreams(Engines(2));
  LONGS_EQUAL(1, view.table.CandidatesFor(Chat(), rule, allowed).size());
}

TEST(Placement, facts_name_the_chosen_upstream_first) {
  RouterView view(2);
  view.table.OnLoad(EngineId(0), {9, 3}, At(0));
  const PlacementDecision decision = view.Choose(At(1));
  STRCMP_EQUAL(
      "engine-1 own=0 others=0 queued=0 limit=16 health=healthy state=usable; "
      "engine-0 own=0 others=12 queued=3 limit=12 health=healthy state=usable",
      DescribeFacts(decision, view.table).c_str());
}
