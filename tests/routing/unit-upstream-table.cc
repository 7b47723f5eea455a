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

TEST(UpstreamTable,
     a_leaving_upstream_gets_no_new_requests_and_keeps_its_attempts) {
  // An operator drains a VM, and the VM list shows it as leaving while an
  // answer is still streaming. New requests would be cut off when the VM stops.
  // The attempt in progress must stay counted until it ends.
  RouterView view(3);
  view.table.OnDispatch(EngineId(1));
  view.table.SetLeaving(EngineId(1), true);
  LONGS_EQUAL(0, TimesChosen(view, 1, 200, At(0)));
  LONGS_EQUAL(1, view.table.InProgress(EngineId(1)));
  view.table.SetLeaving(EngineId(1), false);
  view.table.OnDone(EngineId(1), Millis(5), std::nullopt, At(1));
  CHECK(TimesChosen(view, 1, 200, At(1)) > 0);
}

TEST(UpstreamTable,
     an_upstream_removed_from_the_configuration_ends_its_attempts) {
  // A configuration without engine 2 is applied while the engine is streaming.
  // Until the attempt ends, the table must count it and send no new requests
  // there; afterwards it must delete the entry.
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

TEST(UpstreamTable, an_ejected_upstream_is_probed_at_growing_intervals) {
  // An engine crashes and gets no more requests after three failures. It is
  // probed at growing intervals, so that an address that stays down costs
  // little.
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

TEST(UpstreamTable, probes_of_a_fully_ejected_fleet_are_spread_over_time) {
  // A network partition makes all 100 engines unreachable, and their probes
  // become due together. Sent at once by every router, they would be a burst of
  // load. No engine may be left out.
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

TEST(UpstreamTable, a_probe_without_a_result_is_repeated) {
  // The connection of a probe goes silent and no result ever arrives. The
  // upstream must not stay ejected forever.
  RouterView view(2);
  view.Eject(0, At(0));
  LONGS_EQUAL(1, view.table.TakeProbesDue(At(1000)).size());
  LONGS_EQUAL(0, view.table.TakeProbesDue(At(1500)).size());
  LONGS_EQUAL(1, view.table.TakeProbesDue(At(3100)).size());
}

TEST(UpstreamTable, a_readmitted_upstream_starts_slowly) {
  // Engine 0 is readmitted with a cold cache. With its full share at once,
  // queues would form there and it would be ejected again, so its share ramps
  // up.
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
  // A network device loses the state of a few connections, which go silent
  // while others at the same engine are answered. These failures must not count
  // against the engine. When no attempt is answered any more, they must.
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

TEST(UpstreamTable, partially_failing_upstreams_are_used_as_a_last_resort) {
  // All upstreams of a service fail two calls of three. Ejecting them
  // completely would refuse the calls that would have been answered.
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

TEST(UpstreamTable,
     gate_requests_may_exceed_the_adaptive_limit_up_to_the_hard_cap) {
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

TEST(UpstreamTable, a_standing_queue_lowers_the_limit_and_successes_raise_it) {
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
