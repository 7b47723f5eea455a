#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <cstdio>     // printf
#include <map>        // map
#include <set>        // set

#include "coppervalve/membership/peer_view.h"
#include "fleet.h"

using namespace coppervalve;
using namespace coppervalve::membership;

namespace {

v1::Heartbeat MakeHeartbeat(uint64_t log_age_ms = 100) {
  v1::Heartbeat heartbeat;
  heartbeat.set_log_age_ms(log_age_ms);
  heartbeat.set_config_version(5);
  return heartbeat;
}

}  // namespace

TEST_GROUP(PeerView) {
  std::vector<Member> m_members = MakeMembers(3);
  PeerView m_view{m_members[0]};
  const MemberId m_peer = m_members[1].id;
  core::TimePoint m_now = kStart;

  void setup() override {
    m_view.SetMembers(m_members);
  }

  void HeartbeatsFor(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      m_now += kSecond;
      m_view.OnHeartbeat(m_now, m_peer, MakeHeartbeat());
    }
  }
};

TEST(PeerView, a_small_fleet_is_a_full_mesh) {
  UNSIGNED_LONGS_EQUAL(2, m_view.PeersToContact(m_now).size());
  CHECK_FALSE(m_view.Sampled());
  CHECK(m_view.HeartbeatDue(m_now));
  CHECK_FALSE(m_view.HeartbeatDue(m_now + 999 * kMillisecond));
  CHECK(m_view.HeartbeatDue(m_now + kSecond));
}

TEST(PeerView, a_peer_is_reachable_while_it_is_heard) {
  CHECK_FALSE(m_view.Reachable(m_now, m_peer));
  HeartbeatsFor(1);
  CHECK(m_view.Reachable(m_now, m_peer));
  CHECK(m_view.Reachable(m_now + 3 * kSecond, m_peer));
  CHECK_FALSE(m_view.Reachable(m_now + 3 * kSecond + kMillisecond, m_peer));
}

// On an unstable link one heartbeat arrives every few seconds. Requests
// forwarded because of it would hang.
TEST(PeerView, a_suspected_peer_must_be_heard_for_a_while) {
  HeartbeatsFor(1);
  m_now += 5 * kSecond;
  m_view.OnHeartbeat(m_now, m_peer, MakeHeartbeat());
  CHECK_FALSE(m_view.Reachable(m_now, m_peer));
  HeartbeatsFor(2);
  CHECK(m_view.Reachable(m_now, m_peer));
  m_view.OnSendFailed(m_now, m_peer.router);
  CHECK_FALSE(m_view.Reachable(m_now, m_peer));
}

TEST(PeerView, a_heartbeat_of_another_incarnation_is_ignored) {
  m_view.OnHeartbeat(m_now, {m_peer.router, core::Incarnation(1)},
                     MakeHeartbeat());
  CHECK_FALSE(m_view.Reachable(m_now, m_peer));
}

// This router is paused for a minute while heartbeats accumulate in its socket,
// and then handles them at once. Each reports a recent read, but none may
// confirm the configuration; the first one that arrives at the usual interval
// may.
TEST(PeerView, delayed_heartbeats_confirm_nothing) {
  HeartbeatsFor(2);
  const core::TimePoint before = m_now;
  m_now += 60 * kSecond;
  for (int i = 0; i < 60; ++i) {
    m_view.OnHeartbeat(m_now, m_peer, MakeHeartbeat());
  }
  PeerLogReport log_report = m_view.LogReports(m_now).front();
  CHECK(*log_report.read_to_end < before);
  HeartbeatsFor(1);
  log_report = m_view.LogReports(m_now).front();
  CHECK(*log_report.read_to_end == m_now - 100 * kMillisecond);
}

TEST(PeerView, the_status_names_all_peers) {
  HeartbeatsFor(1);
  const std::vector<v1::PeerStatus> status = m_view.Status(m_now);
  UNSIGNED_LONGS_EQUAL(2, status.size());
  STRCMP_EQUAL("r1", status[0].router().c_str());
  CHECK(status[0].reachable());
  UNSIGNED_LONGS_EQUAL(5, status[0].config_version());
  CHECK_FALSE(status[1].reachable());
}

TEST(PeerView, all_views_agree_on_the_owner_and_draining_ones_own_nothing) {
  PeerView other(m_members[1]);
  other.SetMembers(m_members);
  std::set<core::RouterId> owners;
  for (int i = 0; i < 100; ++i) {
    const core::Hash128 key = core::HashOf(std::to_string(i));
    CHECK(m_view.OwnerOf(key).id == other.OwnerOf(key).id);
    owners.insert(m_view.OwnerOf(key).id.router);
  }
  UNSIGNED_LONGS_EQUAL(3, owners.size());
  m_members[0].phase = MemberPhase::kDraining;
  m_view.SetMembers(m_members);
  for (int i = 0; i < 100; ++i) {
    const core::Hash128 key = core::HashOf(std::to_string(i));
    CHECK(m_view.OwnerOf(key).id != m_members[0].id);
  }
}

// A full mesh of 840 routers would need 704,760 heartbeats a second. Each
// router must send a bounded number of bounded size, and some peers must
// receive them.
TEST(PeerView, heartbeats_of_840_routers_are_bounded) {
  constexpr size_t kCount = 840;
  const std::vector<Member> members = MakeMembers(kCount);
  std::vector<PeerView> views;
  std::map<MemberId, size_t> index;
  for (const Member& member : members) {
    index[member.id] = views.size();
    views.emplace_back(member).SetMembers(members);
  }
  std::vector<std::vector<MemberId>> chosen;
  for (const PeerView& view : views) {
    chosen.push_back(view.PeersToContact(kStart));
    UNSIGNED_LONGS_EQUAL(8, chosen.back().size());
  }
  for (size_t i = 0; i < kCount; ++i) {
    std::set<core::FailureDomainId> domains;
    for (const MemberId& peer : chosen[i]) {
      domains.insert(members[index[peer]].failure_domain);
      views[index[peer]].OnHeartbeat(kStart, members[i].id, MakeHeartbeat());
    }
    UNSIGNED_LONGS_EQUAL(kDomains, domains.size());
  }
  v1::PeerMessage message;
  message.set_from_router("a-router-with-a-long-name");
  message.set_from_incarnation(~uint64_t{0});
  message.set_to_incarnation(~uint64_t{0});
  for (int i = 0; i < 1'000; ++i) {
    v1::Spare& spare = *message.mutable_heartbeat()->add_spares();
    spare.set_budget("budget-" + std::to_string(i));
    spare.set_tokens(INT64_MAX);
  }
  views[0].Bound(*message.mutable_heartbeat());
  size_t total = 0;
  size_t most = 0;
  for (const PeerView& view : views) {
    const size_t contacts = view.PeersToContact(kStart).size();
    CHECK(contacts >= 8);
    total += contacts;
    most = std::max(most, contacts);
  }
  CHECK(most <= 24);
  CHECK(message.ByteSizeLong() <= 1'100);
  std::printf(
      "840 routers: %zu heartbeats a second, at most %zu by one, %zu "
      "bytes each at most\n",
      total, most, message.ByteSizeLong());
}
