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
    Read(core::RouterId("router-1"), Beat("10.0.0.1:80", 1), 0);
    Read(core::RouterId("router-2"), Beat("10.0.0.2:80", 1), 0);
  }
  void Read(const core::RouterId& router, const v1::RouterBeat& beat, double at) {
    members.OnHeartbeat(router, beat);
    members.Refresh(At(at));
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
  Read(core::RouterId("router-2"), leaving, 1);
  CHECK_EQUAL(1, members.Addresses().size());
  CHECK_EQUAL(2, members.LiveCount());
}

TEST(MemberList, an_old_heartbeat_is_ignored) {
  v1::RouterBeat leaving = Beat("10.0.0.2:80", 1);
  leaving.set_leaving(true);
  Read(core::RouterId("router-2"), leaving, 1);
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, a_router_whose_reports_stopped_is_not_announced) {
  // Guards against callers connecting to a VM that lost power a second ago and
  // waiting a second each; the missing heartbeats reveal the failure two
  // seconds later.
  const core::RouterId third("router-3");
  Read(third, Beat("10.0.0.3:80", 1), 0);
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
    Read(core::RouterId("router-" + std::to_string(i)), beat, 0);
  }
  members.Advance(contact, At(0.2));
  CHECK_EQUAL(8, members.ActiveCount());
  v1::RouterBeat busy = Beat("10.0.0.3:80", 2);
  busy.set_capacity(25);
  busy.set_load(200);
  Read(core::RouterId("router-3"), busy, 0.3);
  members.Advance(contact, At(0.4));
  CHECK(members.ActiveCount() >= 12);
}

TEST(MemberList, a_fleet_that_cannot_write_does_not_count_as_dead) {
  // The store refuses all writes for some seconds, or this router reads too
  // slowly to see any. Guards against each router considering all others
  // failed, so that a weak standby receives all callers.
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 1), 0);
  Pass(0, 6);
  CHECK_EQUAL(3, members.Addresses().size());
  // A heartbeat of one router shows that the other one has failed.
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 2), 6);
  Pass(6.2, 6.4);
  CHECK_EQUAL(2, members.Addresses().size());
}

TEST(MemberList, routers_that_stay_silent_count_as_dead) {
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 1), 0);
  Pass(0, 11);
  CHECK_EQUAL(1, members.Addresses().size());
}

TEST(MemberList, the_last_router_of_a_fleet_does_not_announce_dead_ones) {
  // Guards against sending callers to VMs that lost power long ago.
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 1), 0);
  for (uint64_t i = 0; i < 8; ++i) {
    const double now = 0.6 * static_cast<double>(i);
    Read(core::RouterId("router-1"), Beat("10.0.0.1:80", 2 + i), now);
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
    last.OnHeartbeat(core::RouterId("router-" + number), beat);
    last.Refresh(At(0));
  }
  last.Advance(contact, At(0.2));
  CHECK_EQUAL(2, last.ActiveCount());
  CHECK_FALSE(last.SelfActive());
  CHECK(last.SelfActiveOrNext());
  CHECK_EQUAL(700, last.MaxUpstreamCount());
}

TEST(MemberList, a_view_of_another_router_replaces_the_heartbeats) {
  // A standby of a large fleet that read all heartbeats would need more of the
  // store's bandwidth than there is for all standbys.
  FleetView view;
  view.active[core::RouterId("router-8")] = {"10.0.0.8:80", "10.0.0.8:90"};
  view.next = {core::RouterId("router-1")};
  view.live = 985;
  view.upstreams = 9'998;
  members.AdoptView(view);
  CHECK_EQUAL(1, members.Addresses().size());
  STRCMP_EQUAL("10.0.0.8:80", members.Addresses()[0].c_str());
  STRCMP_EQUAL("10.0.0.8:90", members.LoadAddresses()[0].c_str());
  CHECK_EQUAL(985, members.LiveCount());
  CHECK_EQUAL(9'998, members.MaxUpstreamCount());
  CHECK_FALSE(members.SelfActive());
  CHECK(members.SelfActiveOrNext());
  // Heartbeats that are not read do not make routers silent.
  Pass(0, 12);
  CHECK_EQUAL(985, members.LiveCount());
  Read(core::RouterId("router-2"), Beat("10.0.0.2:80", 2), 13);
  CHECK_EQUAL(2, members.LiveCount());
}

TEST(MemberList, the_view_for_others_names_active_routers_and_the_next_ones) {
  for (int i = 3; i <= 40; ++i) {
    v1::RouterBeat beat = Beat("10.0.0." + std::to_string(i) + ":80", 1);
    beat.set_capacity(25);
    Read(core::RouterId("router-" + std::to_string(i)), beat, 0);
  }
  members.Advance(contact, At(0.2));
  const FleetView view = members.View();
  CHECK_EQUAL(members.ActiveCount(), view.active.size());
  CHECK_EQUAL(members.ActiveCount(), view.next.size());
  CHECK_EQUAL(40, view.live);
  for (const auto& [router, addresses] : view.active) {
    CHECK_FALSE(view.next.contains(router));
  }
}

TEST(MemberList, heartbeats_of_known_routers_are_no_joins) {
  CHECK(members.SinceLastJoined(At(2)) == core::Duration(2'000'000));
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 1), 2);
  CHECK(members.SinceLastJoined(At(2)) == core::Duration::zero());
  Read(core::RouterId("router-3"), Beat("10.0.0.3:80", 2), 3);
  CHECK(members.SinceLastJoined(At(3)) == core::Duration(1'000'000));
}

TEST(MemberList, routers_with_rare_heartbeats_are_not_silent) {
  // In a large fleet the period of standbys exceeds the time in which a router
  // of a small fleet counts as failed.
  for (double now = 0; now <= 6; now += 0.2) {
    members.Advance(contact, At(now), core::Duration(5'000'000));
  }
  CHECK_EQUAL(2, members.LiveCount());
}

TEST(MemberList, silent_routers_count_towards_the_size_of_the_fleet) {
  // Failure: heartbeats of a thousand routers are late, so the fleet seems
  // small. The time without a heartbeat that counts as silence shrinks with it,
  // until nearly all routers seem to have failed, and each reads all topics as
  // in a small fleet.
  constexpr int kRouters = 1'000;
  for (int i = 3; i <= kRouters; ++i) {
    Read(core::RouterId("router-" + std::to_string(i)), Beat("10.0.0.3:80", 1),
         0);
  }
  for (double now = 0; now <= 30; now += 0.2) {
    members.OnHeartbeat(core::RouterId("router-1"),
                        Beat("10.0.0.1:80", static_cast<uint64_t>(now * 10)));
    members.Advance(contact, At(now));
  }
  CHECK_EQUAL(1, members.LiveCount());
  CHECK_EQUAL(kRouters, members.KnownCount());
  CHECK_EQUAL(kRouters, members.View().known);
  Pass(30, 100);
  CHECK_EQUAL(1, members.KnownCount());
}
