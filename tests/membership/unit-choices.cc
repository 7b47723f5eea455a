#include <CppUTest/TestHarness.h>

#include <map>  // map
#include <set>  // set

#include "coppervalve/membership/address_list_builder.h"
#include "coppervalve/membership/drain.h"
#include "coppervalve/membership/witness_selector.h"
#include "fleet.h"

using namespace coppervalve;
using namespace coppervalve::membership;

TEST_GROUP(WitnessSelector) {
  std::vector<Member> m_members = MakeMembers(7);
  std::vector<Peer> m_peers = MakePeers(m_members);
  WitnessSelector m_selector{m_members[0]};
  core::TimePoint m_now = kStart;

  MemberId MustChoose(const std::optional<MemberId>& current) {
    const WitnessVerdict verdict = m_selector.Evaluate(m_now, current, m_peers);
    CHECK(std::holds_alternative<ChooseWitness>(verdict));
    return std::get<ChooseWitness>(verdict).witness;
  }
  bool Keeps(const MemberId& current) {
    return std::holds_alternative<KeepWitness>(
        m_selector.Evaluate(m_now, current, m_peers));
  }
  Peer& Find(const MemberId& id) {
    for (Peer& peer : m_peers) {
      if (peer.member.id == id) {
        return peer;
      }
    }
    return m_peers.front();
  }
};

TEST(WitnessSelector, the_witness_is_a_peer_in_another_failure_domain) {
  Peer self;
  self.member = m_members[0];
  self.member.id.incarnation = core::Incarnation(9);
  self.reachable = true;
  self.last_received = kStart;
  self.member.failure_domain = core::FailureDomainId("other");
  m_peers.push_back(self);
  const MemberId witness = MustChoose(std::nullopt);
  CHECK(witness.router != m_members[0].id.router);
  CHECK(Find(witness).member.failure_domain != m_members[0].failure_domain);
  CHECK(Keeps(witness));
  m_peers = {self};
  CHECK(std::holds_alternative<KeepWitness>(
      m_selector.Evaluate(m_now, std::nullopt, m_peers)));
}

TEST(WitnessSelector, a_witness_is_replaced_only_after_a_while) {
  const MemberId witness = MustChoose(std::nullopt);
  Find(witness).reachable = false;
  CHECK(Keeps(witness));
  m_now += 1'900 * kMillisecond;
  CHECK(Keeps(witness));
  m_now += 100 * kMillisecond;
  CHECK(MustChoose(witness) != witness);
  Find(witness).reachable = true;
  CHECK(Keeps(witness));
  Find(witness).draining = true;
  CHECK(MustChoose(witness) != witness);
}

// All other routers are gone or unreachable. The ceiling can no longer be
// raised, and this router would refuse work although its holding has tokens.
TEST(WitnessSelector, a_router_without_peers_continues_without_a_witness) {
  const MemberId witness = MustChoose(std::nullopt);
  for (Peer& peer : m_peers) {
    peer.reachable = false;
  }
  CHECK(Keeps(witness));
  m_now += 5 * kSecond;
  CHECK(std::holds_alternative<ChooseNoWitness>(
      m_selector.Evaluate(m_now, witness, m_peers)));
}

TEST(WitnessSelector, the_own_failure_domain_is_a_fallback) {
  for (Peer& peer : m_peers) {
    peer.reachable = peer.member.failure_domain == m_members[0].failure_domain;
  }
  const MemberId witness = MustChoose(std::nullopt);
  for (Peer& peer : m_peers) {
    peer.reachable = true;
  }
  CHECK(Keeps(witness));
  m_now += 10 * kSecond;
  CHECK(Find(MustChoose(witness)).member.failure_domain !=
        m_members[0].failure_domain);
}

TEST(WitnessSelector, no_witness_of_840_routers_exceeds_its_limit) {
  std::vector<Member> members = MakeMembers(840);
  std::map<MemberId, size_t> witnessed_counts;
  for (Member& member : members) {
    std::vector<Peer> peers;
    for (const Member& other : members) {
      if (other.id == member.id) {
        continue;
      }
      Peer& peer = peers.emplace_back();
      peer.member = other;
      peer.reachable = true;
      peer.last_received = kStart;
    }
    WitnessSelector choice(member);
    const WitnessVerdict verdict = choice.Evaluate(m_now, std::nullopt, peers);
    member.witness = std::get<ChooseWitness>(verdict).witness;
    CHECK(++witnessed_counts[*member.witness] <= 8);
  }
}

TEST_GROUP(AddressListBuilder) {
  std::vector<Member> m_members = MakeMembers(7);
  std::vector<Peer> m_peers = MakePeers(m_members);
  AddressListBuilder m_builder{m_members[0], [](const MemberId& id) {
                                 return "cv1." + id.router.value() + ".";
                               }};
  const core::AccountId m_account{"boleteria"};

  std::vector<std::string> Prefixes(const OwnState& own) {
    std::vector<std::string> prefixes;
    const v1::AddressList list =
        m_builder.AddressesFor(m_account, own, m_peers);
    for (const v1::RouterAddress& address : list.addresses()) {
      prefixes.push_back(address.key_prefix());
    }
    return prefixes;
  }
};

TEST(AddressListBuilder,
     the_own_failure_domain_comes_first_and_all_are_listed) {
  const v1::AddressList list = m_builder.AddressesFor(m_account, {}, m_peers);
  UNSIGNED_LONGS_EQUAL(10'000, list.lifetime_ms());
  UNSIGNED_LONGS_EQUAL(7, list.addresses_size());
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("fd0", list.addresses(i).failure_domain().c_str());
  }
}

TEST(AddressListBuilder, draining_and_unreachable_routers_are_not_listed) {
  m_peers[0].draining = true;
  m_peers[1].reachable = false;
  for (const std::string& prefix : Prefixes({.listed = false})) {
    CHECK(prefix != "cv1.r0." && prefix != "cv1.r1." && prefix != "cv1.r2.");
  }
  UNSIGNED_LONGS_EQUAL(4, Prefixes({.listed = false}).size());
}

TEST(AddressListBuilder,
     an_account_keeps_its_routers_until_one_is_much_busier) {
  const std::vector<std::string> before = Prefixes({});
  for (Peer& peer : m_peers) {
    peer.load.in_progress = 4;
  }
  CHECK(Prefixes({}) == before);
  size_t moved = 0;
  for (Peer& peer : m_peers) {
    peer.load.in_progress = 1'000;
    moved += Prefixes({}) != before ? 1U : 0U;
    peer.load.in_progress = 0;
  }
  CHECK(moved > 0);
}

TEST(AddressListBuilder, a_large_fleet_gets_a_short_list_with_other_domains) {
  m_members = MakeMembers(840);
  m_peers = MakePeers(m_members);
  const v1::AddressList list = m_builder.AddressesFor(m_account, {}, m_peers);
  UNSIGNED_LONGS_EQUAL(8, list.addresses_size());
  std::set<std::string> domains;
  for (const v1::RouterAddress& address : list.addresses()) {
    domains.insert(address.failure_domain());
  }
  CHECK(domains.size() > 1);
}

TEST_GROUP(Drain) {
  Drain m_drain;
  core::TimePoint m_now = kStart;

  void ExpectPhase(DrainPhase phase, const DrainInputs& inputs) {
    CHECK_EQUAL(static_cast<int>(phase),
                static_cast<int>(m_drain.Advance(m_now, inputs)));
  }
};

// A drain starts while callers still have lists with the router's address and
// requests are in progress. No request may be aborted, and none refused
// before the lists have expired.
TEST(Drain, it_waits_for_its_lists_and_its_requests) {
  ExpectPhase(DrainPhase::kActive, {});
  CHECK(m_drain.Request(m_now));
  CHECK_FALSE(m_drain.Listed());
  DrainInputs inputs{.announced = true, .in_progress = 1, .queued = 1};
  ExpectPhase(DrainPhase::kDraining, inputs);
  m_now += 11'999 * kMillisecond;
  ExpectPhase(DrainPhase::kDraining, inputs);
  CHECK(m_drain.AcceptsNewRequests());
  m_now += kMillisecond;
  ExpectPhase(DrainPhase::kRefusingNew, inputs);
  CHECK_FALSE(m_drain.AcceptsNewRequests());
  m_now += 600 * kSecond;
  inputs.queued = 0;
  ExpectPhase(DrainPhase::kRefusingNew, inputs);
  inputs.in_progress = 0;
  ExpectPhase(DrainPhase::kReturning, inputs);
  inputs.holdings_settled = true;
  ExpectPhase(DrainPhase::kFinalising, inputs);
  inputs.finalized = true;
  ExpectPhase(DrainPhase::kExit, inputs);
}

// A second SIGTERM must neither restart the wait nor shorten it.
TEST(Drain, a_second_order_changes_nothing) {
  CHECK(m_drain.Request(m_now));
  const DrainInputs inputs{.announced = true, .in_progress = 1};
  ExpectPhase(DrainPhase::kDraining, inputs);
  m_now += 6 * kSecond;
  CHECK_FALSE(m_drain.Request(m_now));
  ExpectPhase(DrainPhase::kDraining, inputs);
  m_now += 6 * kSecond;
  ExpectPhase(DrainPhase::kRefusingNew, inputs);
  CHECK_FALSE(m_drain.Request(m_now));
  ExpectPhase(DrainPhase::kRefusingNew, inputs);
}

// The log is unavailable, so the drain cannot be announced in it. Heartbeats
// announce it to the peers and the wait starts anyway; only the end waits for
// the log.
TEST(Drain, the_wait_starts_without_the_log) {
  m_drain.Request(m_now);
  const DrainInputs inputs;
  ExpectPhase(DrainPhase::kDraining, inputs);
  m_now += 5 * kSecond;
  ExpectPhase(DrainPhase::kDraining, inputs);
  m_now += 12 * kSecond;
  ExpectPhase(DrainPhase::kReturning, inputs);
  m_now += 3'600 * kSecond;
  ExpectPhase(DrainPhase::kReturning, inputs);
}
