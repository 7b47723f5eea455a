#include "coppervalve/entry/upstream_gate.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(UpstreamGate) {
  PeerContact contact{core::Duration(1'200'000), core::Duration(5'000'000)};
  MemberList members{core::RouterId("router-0"), core::Duration(3'500'000),
                     contact, 3};
  StoreContact store;
  UpstreamSenders senders{members, {}};
  UpstreamGate gate{senders, {1.5, 5}};
  UpstreamDirectory directory{DirectoryOptions{}};

  void setup() override {
    store.OnAnswer(At(0));
    gate.OnConfiguration(WarmingUp("tickets"));
    directory.ReplaceAll({RecordOf(EntryOf("old"))}, store, At(0));
    for (int i = 0; i < 3; ++i) {
      ReadBeat(i, 1);
    }
    AdvanceTime(0, 4);
  }
  void ReadBeat(int router, uint64_t sequence) {
    v1::RouterBeat beat;
    beat.set_epoch(1);
    beat.set_sequence(sequence);
    beat.set_ready(true);
    beat.set_caller_address("10.0.0." + std::to_string(router) + ":80");
    beat.set_failure_domain("fd-" + std::to_string(router));
    beat.set_capacity(100);
    members.OnHeartbeat(core::RouterId("router-" + std::to_string(router)), beat);
    members.Refresh(At(0));
  }
  void AdvanceTime(double from, double to) {
    for (double t = from; t <= to; t += 0.2) {
      members.Advance(store, At(t));
      senders.Advance(At(t));
    }
  }
  UpstreamRef Put(const std::string& id, double at, double warm_up_left = 0) {
    UpstreamEntry entry = EntryOf(id);
    entry.warm_up_left =
        core::Duration(static_cast<int64_t>(warm_up_left * 1e6));
    UpstreamRecord record = RecordOf(entry);
    record.read_at = At(at);
    directory.OnRecord(record);
    return directory.Find(core::UpstreamId(id));
  }
  // Sends requests as long as the gate is open.
  int SendAll(Upstream& upstream, double at) {
    int sent = 0;
    for (; sent < 100 && gate.StateOf(upstream, At(at)) == GateState::kOpen; ++sent) {
      gate.OnSend(upstream, At(at));
    }
    return sent;
  }
};
// clang-format on

TEST(UpstreamGate, an_upstream_listed_at_the_start_is_warm) {
  CHECK_FALSE(
      gate.CountsAsCold(*directory.Find(core::UpstreamId("old")), At(4)));
}

TEST(UpstreamGate, a_start_during_traffic_is_cold_whatever_its_record_says) {
  const UpstreamRef fresh = Put("new", 4);
  CHECK(gate.CountsAsCold(*fresh, At(6.9)));
  CHECK_FALSE(gate.CountsAsCold(*fresh, At(7)));
}

TEST(UpstreamGate, the_age_of_a_record_is_added_to_its_warm_up_time) {
  // The record is read 0.8 s late. The remaining warm-up time that it states
  // counts in full from then on.
  Put("old", 4, 2.5);
  const Upstream& upstream = *directory.Find(core::UpstreamId("old"));
  CHECK(gate.CountsAsCold(upstream, At(6.4)));
  CHECK_FALSE(gate.CountsAsCold(upstream, At(6.6)));
}

TEST(UpstreamGate, a_domain_may_be_cold_after_its_evacuation) {
  const Upstream& upstream = *directory.Find(core::UpstreamId("old"));
  directory.OnEvacuationEnded(core::FailureDomainId("fd-other"), At(5));
  CHECK_FALSE(gate.CountsAsCold(upstream, At(5)));
  directory.OnEvacuationEnded(upstream.entry.failure_domain, At(5));
  CHECK(gate.CountsAsCold(upstream, At(7.9)));
}

TEST(UpstreamGate, an_unreachable_upstream_may_have_restarted) {
  // The upstream restarts under its old id, and its new record is not read yet.
  Upstream& upstream = *directory.Find(core::UpstreamId("old"));
  gate.OnOutcome(upstream, AttemptOutcome::kUnreachable, At(5));
  CHECK(gate.CountsAsCold(upstream, At(7.9)));
  gate.OnOutcome(upstream, AttemptOutcome::kAnswered, At(20));
  CHECK(gate.CountsAsCold(upstream, At(22.9)));
  CHECK_FALSE(gate.CountsAsCold(upstream, At(23)));
}

TEST(UpstreamGate, an_unreachable_upstream_is_tried_again_by_all) {
  // Otherwise a router that is not one of its senders would never use the
  // upstream again.
  MemberList nobody(core::RouterId("router-9"), core::Duration(3'500'000),
                    contact);
  UpstreamSenders none(nobody, {});
  UpstreamGate other(none, {1.5, 5});
  other.OnConfiguration(WarmingUp("tickets"));
  Upstream& upstream = *directory.Find(core::UpstreamId("old"));
  other.OnOutcome(upstream, AttemptOutcome::kUnreachable, At(5));
  CHECK(other.StateOf(upstream, At(7.9)) == GateState::kWarmingUp);
  CHECK(other.StateOf(upstream, At(8)) == GateState::kOpen);
}

TEST(UpstreamGate,
     all_senders_together_stay_below_the_bound_of_a_cold_upstream) {
  const UpstreamRef fresh = Put("new", 4);
  const int sent = SendAll(*fresh, 5);
  CHECK_EQUAL(4, sent);  // 13 of 26, divided by three
  CHECK(gate.StateOf(*fresh, At(5.9)) == GateState::kWarmingUp);
  CHECK_EQUAL(4, SendAll(*fresh, 6.1));
}

TEST(UpstreamGate, requests_sent_before_it_became_cold_count) {
  Upstream& upstream = *directory.Find(core::UpstreamId("old"));
  for (int i = 0; i < 3; ++i) {
    gate.OnSend(upstream, At(4.5));
  }
  Put("old", 5, 3);
  CHECK_EQUAL(1, SendAll(upstream, 5));
}

TEST(UpstreamGate, a_new_sender_waits) {
  // The previous incarnation of this router may have sent requests, and the
  // member lists of the other routers do not include the new one yet.
  UpstreamSenders later(members, {});
  later.Advance(At(4));
  const UpstreamRef fresh = Put("new", 4);
  CHECK_EQUAL(0,
              later.ShareOf(fresh->entry.id, fresh->sender_rank, 26, At(5.9)));
  CHECK_EQUAL(4, later.ShareOf(fresh->entry.id, fresh->sender_rank, 26, At(6)));
}

TEST(UpstreamGate, a_fleet_that_shrinks_keeps_its_shares_for_a_while) {
  // A router disconnected from all others must not take their shares at once.
  const UpstreamRef fresh = Put("new", 4);
  for (int router : {1, 2}) {
    v1::RouterBeat beat;
    beat.set_epoch(1);
    beat.set_sequence(2);
    beat.set_leaving(true);
    members.OnHeartbeat(core::RouterId("router-" + std::to_string(router)),
                        beat);
    members.Refresh(At(4));
  }
  AdvanceTime(4, 8);
  CHECK_EQUAL(1, members.ActiveCount());
  CHECK_EQUAL(4,
              senders.ShareOf(fresh->entry.id, fresh->sender_rank, 26, At(8)));
  AdvanceTime(8, 24);
  CHECK_EQUAL(13,
              senders.ShareOf(fresh->entry.id, fresh->sender_rank, 26, At(24)));
}

TEST(UpstreamGate, the_sum_of_all_shares_stays_below_the_bound) {
  for (double bound : {0.0, 0.5, 1.0, 2.0, 7.0, 26.0, 400.0}) {
    for (uint32_t routers : {1U, 2U, 3U, 5U, 6U, 7U, 20U, 400U}) {
      const WarmUpShare share = DivideWarmUp(bound, routers, {});
      CHECK(share.senders * share.sends <= bound);
      CHECK(share.senders <= routers);
      CHECK((bound >= 1) == (share.sends > 0));
    }
  }
}
