#include "coppervalve/entry/peer_contact.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::RouterId kTwo("router-2");
const core::RouterId kThree("router-3");

}  // namespace

// clang-format off
TEST_GROUP(PeerContact) {
  PeerContact peers{core::Duration(1'200'000), core::Duration(5'000'000)};
};
// clang-format on

TEST(PeerContact, a_router_that_falls_silent_while_others_report_is_lost) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  peers.OnReport(kThree, true, At(2));
  CHECK(peers.IsLost(kTwo, At(2)));
  CHECK_FALSE(peers.IsLost(kThree, At(2)));
}

TEST(PeerContact, a_router_that_hears_nobody_reports_none_as_lost) {
  // Otherwise a partitioned router would direct all its callers to itself.
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  CHECK_FALSE(peers.IsLost(kTwo, At(3)));
}

TEST(PeerContact, unknown_and_long_silent_routers_are_not_lost) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(9));
  CHECK_FALSE(peers.IsLost(core::RouterId("router-4"), At(9)));
  CHECK_FALSE(peers.IsLost(kTwo, At(9)));
}

TEST(PeerContact, only_recent_reports_count_as_reaching_the_store) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, false, At(0));
  CHECK_EQUAL(1, peers.CountReachingStore(At(0.6)));
  CHECK_EQUAL(0, peers.CountReachingStore(At(0.7)));
}

TEST(PeerContact, no_router_reaches_the_store_in_a_partition_of_all) {
  // Guards against sending a caller to another router "that reaches the store"
  // and is partitioned as well. All routers lost the store at second 0, which
  // they notice 0.9 s later.
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  CHECK_EQUAL(0, peers.CountReachingStore(At(0.9)));
}

TEST(PeerContact, others_reach_the_store_only_if_a_majority_does) {
  // All but one of eight active routers are disconnected from the store.
  // Callers directed to the other routers would retry at once and be refused
  // seven times in eight.
  peers.OnReport(kTwo, true, At(0));
  CHECK_FALSE(peers.OthersReachStore(8, At(0.1)));
  peers.OnReport(kThree, true, At(0));
  CHECK(peers.OthersReachStore(3, At(0.1)));
}

TEST(PeerContact, none_reaches_the_store_if_all_report_so) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0.5));
  peers.OnReport(kTwo, false, At(1));
  peers.OnReport(kThree, false, At(1.5));
  CHECK(peers.NoneReachesStoreSince(At(3), At(2)));
}

// Guards against an outage of the store that only a router without contact
// sees.
TEST(PeerContact, the_others_may_reach_the_store_when_their_reports_stop) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  for (const double now : {0.3, 0.7, 1.0, 1.3, 4.0, 30.0}) {
    CHECK_FALSE(peers.NoneReachesStoreSince(At(3), At(now)));
  }
}

// Guards against an outage of the store that only a part of the routers sees.
TEST(PeerContact, a_silent_router_may_reach_the_store_while_another_does_not) {
  peers.OnReport(kTwo, true, At(0));
  for (const double now : {1.0, 2.0, 10.0, 30.0}) {
    peers.OnReport(kThree, false, At(now));
    CHECK_FALSE(peers.NoneReachesStoreSince(At(3), At(now)));
  }
}

// Guards against refusals in an outage because of a router that ended before.
TEST(PeerContact, a_router_that_was_silent_before_an_outage_does_not_count) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(9));
  peers.OnReport(kThree, false, At(10));
  CHECK(peers.NoneReachesStoreSince(At(12), At(10)));
}

// Guards against refusals in an outage because a router crashed during it.
TEST(PeerContact, a_router_that_fell_silent_without_the_store_does_not_count) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kTwo, false, At(1));
  peers.OnReport(kThree, false, At(4));
  CHECK(peers.NoneReachesStoreSince(At(3), At(4)));
}
