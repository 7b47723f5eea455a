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

TEST(PeerContact, a_router_that_falls_silent_beside_others_is_lost) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  peers.OnReport(kThree, true, At(2));
  CHECK(peers.Lost(kTwo, At(2)));
  CHECK_FALSE(peers.Lost(kThree, At(2)));
}

TEST(PeerContact, a_router_that_hears_nobody_calls_nobody_lost) {
  // Cut off from all others, a router would lead all its callers to itself.
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  CHECK_FALSE(peers.Lost(kTwo, At(3)));
}

TEST(PeerContact, a_router_that_never_spoke_or_stands_by_is_not_lost) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(9));
  CHECK_FALSE(peers.Lost(core::RouterId("router-4"), At(9)));
  CHECK_FALSE(peers.Lost(kTwo, At(9)));
}

TEST(PeerContact, only_those_heard_lately_count_as_reaching_the_store) {
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, false, At(0));
  CHECK_EQUAL(1, peers.WithStore(At(0.6)));
  CHECK_EQUAL(0, peers.WithStore(At(0.7)));
}

TEST(PeerContact, in_a_cut_of_all_nobody_is_said_to_reach_the_store) {
  // A caller is sent to another router "that reaches the store" and is refused
  // there once more. All were cut at second 0; the store is known to be lost
  // nine tenths of a second later.
  peers.OnReport(kTwo, true, At(0));
  peers.OnReport(kThree, true, At(0));
  CHECK_EQUAL(0, peers.WithStore(At(0.9)));
}

TEST(PeerContact, a_caller_is_sent_to_others_only_where_most_reach_the_store) {
  // All but one of eight active routers are cut off from the store. Callers are
  // told that others reach it, come back at once, and are refused seven times
  // in eight.
  peers.OnReport(kTwo, true, At(0));
  CHECK_FALSE(peers.OthersReachStore(8, At(0.1)));
  peers.OnReport(kThree, true, At(0));
  CHECK(peers.OthersReachStore(3, At(0.1)));
}
