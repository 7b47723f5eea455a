#include "coppervalve/entry/member_list.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

v1::RouterBeat Beat(const std::string& address, uint64_t sequence) {
  v1::RouterBeat beat;
  beat.set_epoch(1);
  beat.set_sequence(sequence);
  beat.set_caller_address(address);
  beat.set_ready(true);
  return beat;
}

}  // namespace

// clang-format off
TEST_GROUP(MemberList) {
  PeerContact peers{core::Duration(1'200'000), core::Duration(5'000'000)};
  MemberList members{core::RouterId("router-1"), core::Duration(3'500'000),
                     peers};
  StoreContact contact;
  void setup() override {
    contact.OnAnswer(At(0));
    members.OnHeartbeat(core::RouterId("router-1"), Beat("10.0.0.1:80", 1), At(0));
    members.OnHeartbeat(core::RouterId("router-2"), Beat("10.0.0.2:80", 1), At(0));
  }
  void Pass(double from, double until) {
    for (double now = from; now <= until; now += 0.2) {
      members.Advance(contact, At(now));
    }
  }
};
// clang-format on

TEST(MemberList, a_silent_router_is_not_announced) {
  Pass(0, 4);
  CHECK_EQUAL(1, members.Addresses().size());
  CHECK_EQUAL(1, members.LiveCount());
}

TEST(MemberList, a_router_without_the_store_keeps_the_list) {
  // Guards against a partitioned router announcing only itself and receiving
  // all callers. This router receives no heartbeats because it is disconnected,
  // not because the others are down.
  contact.OnFailure(At(1));
  Pass(0, 9);
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, time_in_which_this_process_was_paused_does_not_count) {
  members.Advance(contact, At(0));
  members.Advance(contact, At(20));
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, a_leaving_router_is_not_announced) {
  v1::RouterBeat leaving = Beat("10.0.0.2:80", 2);
  leaving.set_leaving(true);
  members.OnHeartbeat(core::RouterId("router-2"), leaving, At(1));
  CHECK_EQUAL(1, members.Addresses().size());
  CHECK_EQUAL(2, members.LiveCount());
}

TEST(MemberList, an_old_heartbeat_is_ignored) {
  v1::RouterBeat leaving = Beat("10.0.0.2:80", 1);
  leaving.set_leaving(true);
  members.OnHeartbeat(core::RouterId("router-2"), leaving, At(1));
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, a_router_whose_reports_stopped_is_not_announced) {
  // Guards against callers connecting to a VM that lost power a second ago and
  // waiting a second each; the missing heartbeats reveal the failure two
  // seconds later.
  const core::RouterId third("router-3");
  members.OnHeartbeat(third, Beat("10.0.0.3:80", 1), At(0));
  peers.OnReport(core::RouterId("router-2"), true, At(0));
  peers.OnReport(third, true, At(0));
  members.Advance(contact, At(0.2));
  CHECK_EQUAL(3, members.Addresses().size());
  peers.OnReport(third, true, At(1.5));
  Pass(0.4, 1.6);
  CHECK_EQUAL(2, members.Addresses().size());
  CHECK_EQUAL(3, members.LiveCount());
}

TEST(MemberList, weak_routers_are_standbys_until_the_load_needs_them) {
  for (int i = 3; i <= 40; ++i) {
    v1::RouterBeat beat = Beat("10.0.0." + std::to_string(i) + ":80", 1);
    beat.set_capacity(25);
    members.OnHeartbeat(core::RouterId("router-" + std::to_string(i)), beat,
                        At(0));
  }
  members.Advance(contact, At(0.2));
  CHECK_EQUAL(8, members.ActiveCount());
  v1::RouterBeat busy = Beat("10.0.0.3:80", 2);
  busy.set_capacity(25);
  busy.set_load(200);
  members.OnHeartbeat(core::RouterId("router-3"), busy, At(0.3));
  members.Advance(contact, At(0.4));
  CHECK(members.ActiveCount() >= 12);
}

TEST(MemberList, a_fleet_that_cannot_write_does_not_count_as_dead) {
  // The store refuses all writes for some seconds, or this router reads too
  // slowly to see any. Guards against each router considering all others
  // failed, so that a weak standby receives all callers.
  members.OnHeartbeat(core::RouterId("router-3"), Beat("10.0.0.3:80", 1),
                      At(0));
  Pass(0, 6);
  CHECK_EQUAL(3, members.Addresses().size());
  // A heartbeat of one router shows that the other one has failed.
  members.OnHeartbeat(core::RouterId("router-3"), Beat("10.0.0.3:80", 2),
                      At(6));
  Pass(6.2, 6.4);
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, routers_that_stay_silent_count_as_dead) {
  members.OnHeartbeat(core::RouterId("router-3"), Beat("10.0.0.3:80", 1),
                      At(0));
  Pass(0, 11);
  CHECK_EQUAL(1, members.Addresses().size());
}

TEST(MemberList, the_last_router_of_a_fleet_does_not_announce_dead_ones) {
  // Guards against sending callers to VMs that lost power long ago.
  members.OnHeartbeat(core::RouterId("router-3"), Beat("10.0.0.3:80", 1),
                      At(0));
  for (uint64_t i = 0; i < 8; ++i) {
    const double now = 0.6 * static_cast<double>(i);
    members.OnHeartbeat(core::RouterId("router-1"), Beat("10.0.0.1:80", 2 + i),
                        At(now));
    Pass(now, now + 0.4);
  }
  CHECK_EQUAL(1, members.Addresses().size());
}

TEST(MemberList, the_next_standbys_are_known) {
  MemberList last(core::RouterId("router-20"), core::Duration(3'500'000), peers,
                  2);
  for (int i = 1; i <= 20; ++i) {
    const std::string number = std::to_string(i);
    v1::RouterBeat beat = Beat("10.0.0." + number + ":80", 1);
    beat.set_capacity(i == 20 ? 90 : i >= 18 ? 100 : 10);
    beat.set_upstreams(i == 1 ? 700 : 0);
    last.OnHeartbeat(core::RouterId("router-" + number), beat, At(0));
  }
  last.Advance(contact, At(0.2));
  CHECK_EQUAL(2, last.ActiveCount());
  CHECK_FALSE(last.SelfActive());
  CHECK(last.SelfActiveOrNext());
  CHECK_EQUAL(700, last.MaxUpstreamCount());
}
