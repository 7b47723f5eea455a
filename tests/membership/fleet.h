#ifndef COPPERVALVE_TESTS_MEMBERSHIP_FLEET_H_
#define COPPERVALVE_TESTS_MEMBERSHIP_FLEET_H_

#include <string>  // to_string
#include <vector>  // vector

#include "coppervalve/membership/member.h"
#include "coppervalve/membership/peer_view.h"

namespace coppervalve::membership {

constexpr core::Duration kMillisecond = std::chrono::milliseconds(1);
constexpr core::Duration kSecond = std::chrono::seconds(1);
constexpr core::TimePoint kStart{std::chrono::hours(1)};
constexpr size_t kDomains = 3;

/// Routers r0, r1, ... assigned round-robin to three failure domains.
inline std::vector<Member> MakeMembers(size_t count) {
  std::vector<Member> members(count);
  for (size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    members[i].id = {core::RouterId("r" + number), core::Incarnation(i + 100)};
    members[i].caller_address = "10.0.0." + number + ":80";
    members[i].failure_domain =
        core::FailureDomainId("fd" + std::to_string(i % kDomains));
    members[i].last_sequence = core::Sequence(1);
  }
  return members;
}

/// Peers of r0, all reachable.
inline std::vector<Peer> MakePeers(const std::vector<Member>& members) {
  std::vector<Peer> peers;
  for (size_t i = 1; i < members.size(); ++i) {
    Peer peer;
    peer.member = members[i];
    peer.reachable = true;
    peer.last_received = kStart;
    peers.push_back(peer);
  }
  return peers;
}

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_TESTS_MEMBERSHIP_FLEET_H_
