#include <CppUTest/TestHarness.h>

#include "routing_fixture.h"

using namespace coppervalve;
using namespace coppervalve::routing;
using namespace coppervalve::routing::testing;

namespace {

int TimesChosen(RouterView& view, int engine, int rounds, core::TimePoint now) {
  int times = 0;
  for (int round = 0; round < rounds; ++round) {
    const PlacementDecision decision = view.Choose(now);
    times += decision.upstream == EngineId(engine) ? 1 : 0;
  }
  return times;
}

Usability UsabilityOf(RouterView& view, int engine, core::TimePoint now) {
  const auto slot = view.table.SlotOf(EngineId(engine));
  return view.table.Inspect(*slot, v1::INTERACTIVE, {}, now).usability;
}

}  // namespace

// clang-format off
TEST_GROUP(UpstreamTable){};
// clang-format on

TEST(UpstreamTable, a_leaving_upstream_gets_no_new_work_and_keeps_its_own) {
  // An operator drains a VM. The VM list shows it as leaving while one answer
  // still streams. New work at it would be cut off when the VM goes; the one
  // in progress must stay counted until it ends.
  RouterView view(3);
  view.table.OnDispatch(EngineId(1));
  view.table.SetLeaving(EngineId(1), true);
  LONGS_EQUAL(0, TimesChosen(view, 1, 200, At(0)));
  LONGS_EQUAL(1, view.table.InProgress(EngineId(1)));
  view.table.SetLeaving(EngineId(1), false);
  view.table.OnDone(EngineId(1), Millis(5), std::nullopt, At(1));
  CHECK(TimesChosen(view, 1, 200, At(1)) > 0);
}

TEST(UpstreamTable, an_upstream_dropped_by_a_configuration_ends_its_attempts) {
  // A configuration without engine 2 comes in force while it streams. Its end
  // arrives later: the table must neither lose count nor give it new work, and
  // must forget it afterwards.
  RouterView view(3);
  view.table.OnDispatch(EngineId(2));
  view.table.SetUpstreams(Engines(2));
  LONGS_EQUAL(0, TimesChosen(view, 2, 100, At(0)));
  LONGS_EQUAL(1, view.table.InProgress(EngineId(2)));
  view.table.OnDone(EngineId(2), Millis(5), std::nullopt, At(5));
  CHECK(view.table.Find(EngineId(2)) == nullptr);
  view.table.OnDone(EngineId(2), Millis(5), std::nullopt, At(6));
}

TEST(UpstreamTable, learned_state_survives_a_new_configuration) {
  RouterView view(3);
  view.Eject(0, At(0));
  view.table.SetUpstreams(Engines(4));
  CHECK(UsabilityOf(view, 0, At(1)) == Usability::kEjected);
  std::vector<UpstreamInfo> moved = Engines(4);
  moved[0].address = "10.0.9.9:80";
  view.table.SetUpstreams(moved);
  CHECK(UsabilityOf(view, 0, At(2)) == Usability::kUsable);
}

TEST(UpstreamTable, an_ejected_upstream_is_probed_with_growing_pauses) {
  // An engine crashes. Work stops going there after three failures; probes ask
  // whether it is back, ever more rarely, so that a dead address costs little.
  RouterView view(3);
  view.Eject(0, At(0));
  LONGS_EQUAL(0, TimesChosen(view, 0, 100, At(0)));
  std::vector<int64_t> probed_at;
  for (int64_t now = 0; now < 30'000; now += 10) {
    for (const ProbeDue& probe : view.table.TakeProbesDue(At(now))) {
      probed_at.push_back(now);
      view.table.OnProbe(probe.upstream, false, std::nullopt, At(now));
    }
  }
  CHECK(probed_at.size() > 6);
  CHECK(probed_at.size() < 20);
  CHECK(probed_at[0] <= 260);
  CHECK(probed_at.back() - probed_at[probed_at.size() - 2] >= 2000);
}

TEST(UpstreamTable, a_fleet_that_is_ejected_whole_is_probed_little_by_little) {
  // A cut takes all 100 engines away. Their probes come due together; sent at
  // once by every router they would be a burst of their own. None is forgotten.
  RouterView view(100);
  for (int number = 0; number < 100; ++number) {
    view.Eject(number, At(0));
  }
  size_t probed = 0;
  for (int64_t now = 1000; now < 1050; now += 10) {
    const size_t due = view.table.TakeProbesDue(At(now)).size();
    CHECK(due <= UpstreamTableOptions{}.max_probes_per_call);
    probed += due;
  }
  LONGS_EQUAL(100, probed);
}

TEST(UpstreamTable, a_lost_probe_is_made_again) {
  // The probe's connection goes silent for good and no result ever comes. The
  // upstream must not stay ejected for ever.
  RouterView view(2);
  view.Eject(0, At(0));
  LONGS_EQUAL(1, view.table.TakeProbesDue(At(1000)).size());
  LONGS_EQUAL(0, view.table.TakeProbesDue(At(1500)).size());
  LONGS_EQUAL(1, view.table.TakeProbesDue(At(3100)).size());
}

TEST(UpstreamTable, a_returned_upstream_starts_slowly) {
  // Engine 0 is back with a cold cache. Given its full share at once, queues
  // form there and it is ejected again; its share ramps up instead.
  RouterView view(2);
  view.Eject(0, At(0));
  view.table.TakeProbesDue(At(1000));
  view.table.OnProbe(EngineId(0), true, std::nullopt, At(1000));
  const auto slot = *view.table.SlotOf(EngineId(0));
  const auto limit_at = [&view, slot](int64_t now) {
    return view.table.Inspect(slot, v1::INTERACTIVE, {}, At(now)).limit;
  };
  LONGS_EQUAL(1, limit_at(1000));
  CHECK(limit_at(3500) > limit_at(1000));
  CHECK(limit_at(3500) < limit_at(6100));
  LONGS_EQUAL(16, limit_at(6100));
}

TEST(UpstreamTable, one_silent_connection_does_not_eject_its_upstream) {
  // Something between the two ends loses track of a few connections: they go
  // silent while others at the same engine are answered. The connection is to
  // blame. When nothing is answered any more, the engine is.
  RouterView view(2);
  const auto silent = [&view](int64_t now) {
    view.table.OnDispatch(EngineId(0));
    view.table.OnFailed(EngineId(0), FailureKind::kSilent, At(now));
  };
  view.table.OnDispatch(EngineId(0));
  view.table.OnDone(EngineId(0), Millis(5), std::nullopt, At(100));
  for (int i = 0; i < 10; ++i) {
    silent(200);
  }
  CHECK(UsabilityOf(view, 0, At(200)) == Usability::kUsable);
  silent(3000);
  silent(3001);
  silent(3002);
  CHECK(UsabilityOf(view, 0, At(3003)) == Usability::kEjected);
}

TEST(UpstreamTable, upstreams_that_fail_in_part_are_still_a_last_resort) {
  // Both case-record servers fail two calls of three. Ejecting both would
  // refuse the lookups that would have been answered.
  RouterView view(1);
  for (int i = 0; i < 60; ++i) {
    view.table.OnDispatch(EngineId(0));
    if (i % 3 == 0) {
      view.table.OnDone(EngineId(0), Millis(5), std::nullopt, At(i));
      continue;
    }
    view.table.OnFailed(EngineId(0), FailureKind::kError, At(i));
  }
  const PlacementDecision decision = view.Choose(At(60));
  CHECK(decision.upstream == EngineId(0));
  CHECK(decision.reason == ChoiceReason::kLastResort);
}

TEST(UpstreamTable, a_decline_pauses_the_upstream_and_lowers_its_limit) {
  RouterView view(2);
  const auto slot = *view.table.SlotOf(EngineId(0));
  view.table.OnDispatch(EngineId(0));
  view.table.OnDeclined(EngineId(0), Millis(300), std::nullopt, At(0));
  CHECK(UsabilityOf(view, 0, At(299)) == Usability::kHeldOff);
  CHECK(UsabilityOf(view, 0, At(301)) == Usability::kUsable);
  CHECK(view.table.Inspect(slot, v1::INTERACTIVE, {}, At(301)).limit < 16);
}

TEST(UpstreamTable, gate_work_may_pass_the_adaptive_limit_up_to_the_cap) {
  RouterView view(1);
  const auto slot = *view.table.SlotOf(EngineId(0));
  for (int i = 0; i < 16; ++i) {
    view.table.OnDispatch(EngineId(0));
  }
  const auto usability = [&view, slot](v1::AdmissionClass admission_class) {
    return view.table.Inspect(slot, admission_class, {}, At(0)).usability;
  };
  CHECK(usability(v1::BATCH) == Usability::kBusy);
  CHECK(usability(v1::INTERACTIVE) == Usability::kBusy);
  CHECK(usability(v1::GATE) == Usability::kUsable);
  for (int i = 16; i < 64; ++i) {
    view.table.OnDispatch(EngineId(0));
  }
  CHECK(usability(v1::GATE) == Usability::kBusy);
}

TEST(UpstreamTable, a_standing_queue_lowers_the_limit_and_health_raises_it) {
  RouterView view(1);
  const auto slot = *view.table.SlotOf(EngineId(0));
  const auto limit = [&view, slot] {
    return view.table.Inspect(slot, v1::INTERACTIVE, {}, At(0)).limit;
  };
  for (int i = 0; i < 8; ++i) {
    view.table.OnLoad(EngineId(0), {16, 40}, At(i * 1000));
  }
  const uint32_t lowered = limit();
  CHECK(lowered < 8);
  for (int i = 0; i < 400; ++i) {
    while (view.table.InProgress(EngineId(0)) < limit()) {
      view.table.OnDispatch(EngineId(0));
    }
    view.table.OnDone(EngineId(0), Millis(5), LoadReport{8, 0}, At(9000 + i));
  }
  CHECK(limit() > lowered * 2);
}
