#include "coppervalve/entry/placement.h"

#include <CppUTest/TestHarness.h>

#include <string>  // to_string

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(Placement) {
  UpstreamDirectory directory{DirectoryOptions{}};
  PeerLoads peers{core::Duration(800'000)};
  UpstreamGate gate;
  uint64_t draw = 0;
  Placer placer{{}, core::FailureDomainId("fd-a"), peers, gate,
                [this] { return draw += 0x9e3779b97f4a7c15; }};
  PlacementQuery query;

  void setup() override {
    for (int i = 0; i < 4; ++i) {
      UpstreamEntry entry = EntryOf("e" + std::to_string(i), "engines");
      entry.slots = 64;
      directory.OnRecord(RecordOf(entry));
    }
    query.service = core::ServiceId("engines");
    query.engine = true;
    query.prompt = core::Tokens(6'000);
  }
  UpstreamRef Engine(int i) {
    return directory.Find(core::UpstreamId("e" + std::to_string(i)));
  }
  std::string Chosen() {
    const Placement placement = placer.Choose(directory, query, At(1));
    return placement.upstream ? placement.upstream->entry.id.value() : "";
  }
};
// clang-format on

TEST(Placement, short_prompts_avoid_engines_with_long_ones) {
  // A short request would wait behind a prompt of 50,000 tokens if requests
  // were counted instead of the prefill that they cause.
  Engine(0)->in_flight = 1;
  Engine(0)->in_prefill = placer.PrefillCost(core::Tokens(50'000));
  for (int i = 1; i < 4; ++i) {
    Engine(i)->in_flight = 3;
  }
  query.prompt = core::Tokens(300);
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen() != "e0");
  }
}

TEST(Placement, a_shared_prefix_goes_to_its_owner_on_every_router) {
  query.shared_prefix = "castle-tour";
  query.shared_tokens = core::Tokens(5'000);
  const std::string owner = Chosen();
  PeerLoads other_peers{core::Duration(800'000)};
  uint64_t other_draw = 77;
  Placer other({}, core::FailureDomainId("fd-b"), other_peers, gate,
               [&] { return other_draw += 13; });
  const Placement placement = other.Choose(directory, query, At(1));
  CHECK(placement.upstream->entry.id.value() == owner);
  CHECK(placement.why == PlacementReason::kPrefixOwner);
}

TEST(Placement, a_busy_owner_is_not_chosen) {
  query.shared_prefix = "castle-tour";
  query.shared_tokens = core::Tokens(500);
  const std::string owner = Chosen();
  directory.Find(core::UpstreamId(owner))->in_prefill = 100'000;
  CHECK(Chosen() != owner);
}

TEST(Placement, load_reports_of_other_routers_count) {
  // Guards against six routers sending to the same idle engine at once, when
  // each sees only its own work, a sixth of the total.
  v1::LoadReport report;
  report.set_router("router-2");
  report.set_sequence(1);
  for (int i = 0; i < 3; ++i) {
    v1::UpstreamLoad* load = report.add_loads();
    load->set_upstream(Engine(i)->load_key);
    load->set_in_flight(2);
    load->set_in_prefill(30'000);
  }
  peers.OnReport(report, At(1));
  query.routers = 2;
  STRCMP_EQUAL("e3", Chosen().c_str());
}

TEST(Placement, a_late_report_does_not_replace_a_newer_one) {
  v1::LoadReport report;
  report.set_router("router-2");
  report.set_sequence(2);
  peers.OnReport(report, At(1));
  report.set_sequence(1);
  v1::UpstreamLoad* load = report.add_loads();
  load->set_upstream(Engine(0)->load_key);
  load->set_in_flight(5);
  peers.OnReport(report, At(1));
  DOUBLES_EQUAL(0, peers.At(Engine(0)->load_key).in_flight, 0.001);
}

TEST(Placement, reports_expire) {
  v1::LoadReport report;
  report.set_router("router-2");
  report.set_sequence(1);
  v1::UpstreamLoad* load = report.add_loads();
  load->set_upstream(Engine(0)->load_key);
  load->set_in_flight(5);
  peers.OnReport(report, At(1));
  peers.Advance(At(2));
  CHECK_EQUAL(0, peers.Reporting());
  DOUBLES_EQUAL(0, peers.At(Engine(0)->load_key).in_flight, 0.001);
}

TEST(Placement, an_unreachable_upstream_is_the_last_resort) {
  for (int i = 0; i < 4; ++i) {
    Engine(i)->health.On(AttemptOutcome::kUnreachable, At(1));
  }
  const Placement placement = placer.Choose(directory, query, At(1));
  CHECK(placement.upstream != nullptr);
  CHECK(placement.why == PlacementReason::kLastResort);
}

TEST(Placement, an_upstream_that_fails_often_is_avoided_until_failures_decay) {
  for (int i = 0; i < 10; ++i) {
    Engine(1)->health.On(AttemptOutcome::kBroken, At(1));
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen() != "e1");
  }
  CHECK(Engine(1)->health.trust(At(20)) == Trust::kFull);
}

TEST(Placement, one_request_in_seven_failing_is_not_suspect) {
  for (int i = 0; i < 70; ++i) {
    Engine(1)->health.On(
        i % 7 == 0 ? AttemptOutcome::kOwnFailure : AttemptOutcome::kAnswered,
        At(1));
  }
  CHECK(Engine(1)->health.trust(At(1)) == Trust::kFull);
}

TEST(Placement, tried_upstreams_are_not_tried_again) {
  for (int i = 0; i < 4; ++i) {
    query.exclude.push_back(core::UpstreamId("e" + std::to_string(i)));
  }
  const Placement placement = placer.Choose(directory, query, At(1));
  CHECK(placement.upstream == nullptr);
  CHECK(placement.why == PlacementReason::kNoneLeft);
}

TEST(Placement,
     an_upstream_whose_entry_expired_is_used_if_nothing_else_is_left) {
  const StoreContact contact;
  directory.Remove(core::UpstreamId("e1"), contact, At(1));
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen() != "e1");
  }
  for (const char* id : {"e0", "e2", "e3"}) {
    directory.Remove(core::UpstreamId(id), contact, At(1));
  }
  CHECK_FALSE(Chosen().empty());
}

TEST(Placement, a_paused_upstream_gets_nothing_even_as_the_last_resort) {
  // Guards against using an overloaded engine as the last resort after all
  // others were tried: it would spend its time on rejecting requests.
  Engine(0)->paused_until = At(5);
  for (int i = 1; i < 4; ++i) {
    query.exclude.push_back(core::UpstreamId("e" + std::to_string(i)));
  }
  CHECK(Chosen().empty());
  Engine(0)->paused_until = At(0.5);
  CHECK(Chosen() == "e0");
}

// Guards against requests that wait at an upstream which fails if it has to
// reject them.
TEST(Placement, nothing_waits_at_an_upstream_that_is_brittle) {
  for (int i = 0; i < 4; ++i) {
    Engine(i)->brittleness.OnAnswer(3, At(1));
    Engine(i)->in_flight = 64;
  }
  STRCMP_EQUAL("", Chosen().c_str());
  CHECK(placer.Choose(directory, query, At(1)).why ==
        PlacementReason::kLimited);
  Engine(2)->in_flight = 63;
  STRCMP_EQUAL("e2", Chosen().c_str());
}

TEST(Placement, a_brittle_upstream_that_rejected_a_request_gets_a_pause) {
  for (int i = 0; i < 4; ++i) {
    Engine(i)->brittleness.OnAnswer(1, At(1));
    gate.OnOutcome(*Engine(i), AttemptOutcome::kDeclined, At(1));
  }
  STRCMP_EQUAL("", Chosen().c_str());
}

// Guards against a stream that goes on at another software version.
TEST(Placement, a_required_version_goes_before_everything_else) {
  UpstreamEntry entry = EntryOf("new", "engines");
  entry.slots = 64;
  entry.version = core::UpstreamVersion("v2");
  directory.OnRecord(RecordOf(entry));
  Engine(0)->in_flight = 0;
  directory.Find(core::UpstreamId("new"))->in_flight = 60;
  query.version = core::UpstreamVersion("v2");
  for (int i = 0; i < 20; ++i) {
    STRCMP_EQUAL("new", Chosen().c_str());
  }
}

TEST(Placement, without_the_required_version_there_is_no_last_resort) {
  query.version = core::UpstreamVersion("v2");
  const Placement placement = placer.Choose(directory, query, At(1));
  CHECK(placement.upstream == nullptr);
  STRCMP_EQUAL("other_version", std::string(ToString(placement.why)).c_str());
}

TEST(Placement, an_unknown_version_that_must_be_known_places_nowhere) {
  query.sole_version_only = true;
  CHECK(placer.Choose(directory, query, At(1)).upstream == nullptr);
}
