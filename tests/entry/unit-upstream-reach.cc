#include "coppervalve/entry/upstream_reach.h"

#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <string>  // string

#include "coppervalve/entry/relay_choice.h"
#include "coppervalve/entry/relay_refusals.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using std::chrono::milliseconds;

// clang-format off
TEST_GROUP(UpstreamReach) {
  UpstreamReach reach;
  core::ServiceId service{"chat"};
  core::TimePoint now{std::chrono::seconds(100)};

  bool Fail(const std::string& upstream, size_t upstreams = 3) {
    return reach.OnFailed(service, core::UpstreamId(upstream), upstreams, now);
  }
  void Partition() {
    Fail("one");
    Fail("two");
    CHECK(Fail("three"));
  }
};
// clang-format on

// Guards against one crashed upstream that is taken for a partition.
TEST(UpstreamReach, one_upstream_that_fails_again_and_again_is_no_partition) {
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(Fail("one"));
  }
  CHECK_FALSE(reach.IsPartitioned(service));
}

TEST(UpstreamReach, all_upstreams_that_fail_at_once_are_a_partition) {
  CHECK_FALSE(Fail("one"));
  CHECK_FALSE(Fail("two"));
  CHECK(Fail("three"));
  CHECK_FALSE(Fail("one"));
  CHECK(reach.IsPartitioned(service));
  CHECK_FALSE(reach.IsPartitioned(core::ServiceId("hold")));
  CHECK_EQUAL(1, reach.partitioned());
}

TEST(UpstreamReach, a_connection_that_opens_in_between_rules_a_partition_out) {
  Fail("one");
  Fail("two");
  CHECK_FALSE(reach.OnOpened(service));
  CHECK_FALSE(Fail("three"));
}

// Guards against upstreams that crash together and are taken for a partition.
TEST(UpstreamReach, three_of_many_upstreams_that_fail_are_no_partition) {
  for (const char* upstream : {"one", "two", "three", "one", "two"}) {
    CHECK_FALSE(Fail(upstream, 18));
  }
  CHECK(Fail("four", 18));
}

TEST(UpstreamReach, failures_far_apart_are_no_partition) {
  Fail("one", 2);
  now += milliseconds(3'500);
  CHECK_FALSE(Fail("two", 2));
}

TEST(UpstreamReach, the_only_upstream_of_a_service_is_evidence_enough) {
  CHECK(Fail("one", 1));
}

// Guards against a router without the table of upstreams that takes one crash
// for a partition.
TEST(UpstreamReach, an_unknown_number_of_upstreams_needs_four_failures) {
  for (const char* upstream : {"one", "two", "three"}) {
    CHECK_FALSE(Fail(upstream, 0));
  }
  CHECK(Fail("four", 0));
}

TEST(UpstreamReach, checks_only_upstreams_that_others_reach_twice_a_second) {
  Partition();
  now += milliseconds(600);
  CHECK(reach.TakeDueChecks(now).empty());
  reach.OnReachedByPeer(service, "10.0.0.3:80", now);
  CHECK_EQUAL(1, reach.TakeDueChecks(now).size());
  CHECK(reach.TakeDueChecks(now).empty());
  now += milliseconds(500);
  STRCMP_EQUAL("10.0.0.3:80", reach.TakeDueChecks(now).front().address.c_str());
}

TEST(UpstreamReach, a_service_without_requests_is_not_checked) {
  Partition();
  reach.OnReachedByPeer(service, "10.0.0.3:80", now);
  now += std::chrono::seconds(6);
  CHECK(reach.TakeDueChecks(now).empty());
}

// Guards against routers that take a crash of all upstreams for a partition and
// keep to it after they are back, as no request of theirs is placed.
TEST(UpstreamReach, any_upstream_is_probed_while_nobody_has_reached_one) {
  Partition();
  CHECK(reach.TakeDueProbes(now).empty());
  now += milliseconds(600);
  CHECK_EQUAL(1, reach.TakeDueProbes(now).size());
  CHECK(reach.TakeDueProbes(now).empty());
  now += milliseconds(500);
  reach.OnReachedByPeer(service, "10.0.0.3:80", now);
  CHECK(reach.TakeDueProbes(now).empty());
  CHECK_EQUAL(1, reach.TakeDueChecks(now).size());
}

TEST(UpstreamReach, an_opened_connection_ends_the_partition) {
  Partition();
  CHECK(reach.OnOpened(service));
  CHECK_FALSE(reach.IsPartitioned(service));
  CHECK_FALSE(reach.OnOpened(service));
}

// clang-format off
TEST_GROUP(RelayChoice) {
  uint64_t next = 0;
  RelayChoice choice{milliseconds(1'000), [this] { return next++; }};
  core::TimePoint now{std::chrono::seconds(100)};
};
// clang-format on

TEST(RelayChoice, spreads_over_all_routers) {
  CHECK(choice.Choose({"a", "b"}, {}, now) !=
        choice.Choose({"a", "b"}, {}, now));
}

TEST(RelayChoice, leaves_out_a_router_that_failed_for_a_while) {
  choice.OnFailed("a", now);
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("b", choice.Choose({"a", "b"}, {}, now)->c_str());
  }
  CHECK_FALSE(choice.Choose({"a"}, {}, now).has_value());
  now += milliseconds(1'000);
  CHECK(choice.Choose({"a"}, {}, now).has_value());
}

TEST(RelayChoice, leaves_out_an_excluded_router) {
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("b", choice.Choose({"a", "b"}, {"a"}, now)->c_str());
  }
  CHECK_FALSE(choice.Choose({"a"}, {"a"}, now).has_value());
}

TEST(RelayChoice, chooses_none_if_there_is_none) {
  CHECK_FALSE(choice.Choose({}, {}, now).has_value());
}

// clang-format off
TEST_GROUP(RelayRefusals) {
  RelayRefusals refusals;
  const core::UpstreamId one{"one"};
  const core::UpstreamId two{"two"};
};
// clang-format on

TEST(RelayRefusals, three_routers_that_fail_confirm_that_one_is_unreachable) {
  refusals.OnRefused("a", one);
  refusals.OnRefused("b", one);
  CHECK_FALSE(refusals.IsConfirmed(one));
  refusals.OnRefused("c", one);
  CHECK(refusals.IsConfirmed(one));
}

TEST(RelayRefusals, failures_at_other_upstreams_do_not_count) {
  refusals.OnRefused("a", one);
  refusals.OnRefused("b", two);
  refusals.OnRefused("c", two);
  CHECK_FALSE(refusals.IsConfirmed(one));
  CHECK_FALSE(refusals.IsConfirmed(two));
  CHECK_EQUAL(3, refusals.relays().size());
}

// Guards against crashes in series that are taken for a partition, as no other
// connection was opened meanwhile.
TEST(UpstreamReach,
     another_upstream_is_probed_before_the_evidence_is_complete) {
  CHECK_FALSE(reach.ShouldProbe(service, 18));
  Fail("one", 18);
  CHECK_FALSE(reach.ShouldProbe(service, 18));
  Fail("two", 18);
  CHECK(reach.ShouldProbe(service, 18));
  CHECK(reach.HasFailed(service, core::UpstreamId("two")));
  CHECK_FALSE(reach.HasFailed(service, core::UpstreamId("three")));
  CHECK_FALSE(reach.ShouldProbe(service, 4));
  reach.OnOpened(service);
  CHECK_FALSE(reach.ShouldProbe(service, 18));
}

// Guards against needless connections to upstreams that can't be reached.
TEST(UpstreamReach, no_upstream_is_probed_once_many_have_failed) {
  for (const char* upstream : {"1", "2", "3", "4", "5", "6", "7"}) {
    Fail(upstream, 18);
  }
  CHECK(reach.IsPartitioned(service));
  CHECK(reach.ShouldProbe(service, 18));
  Fail("8", 18);
  CHECK_FALSE(reach.ShouldProbe(service, 18));
}
