#include "coppervalve/membership/witness_selector.h"

#include <algorithm>  // find_if
#include <map>        // map
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::membership {

namespace {

std::map<MemberId, size_t> CountWitnessed(const MemberId& self,
                                          const std::vector<Peer>& peers) {
  std::map<MemberId, size_t> witnessed_counts;
  for (const Peer& peer : peers) {
    if (!peer.member.witness || peer.member.id == self) {
      continue;
    }
    ++witnessed_counts[*peer.member.witness];
  }
  return witnessed_counts;
}

const Peer* FindPeer(const std::vector<Peer>& peers, const MemberId& id) {
  const auto found =
      std::find_if(peers.begin(), peers.end(),
                   [&id](const Peer& peer) { return peer.member.id == id; });
  return found == peers.end() ? nullptr : &*found;
}

/// A heartbeat is required because a peer that exchanges none with this router
/// counts as reachable until a send fails, but may be unable to acknowledge a
/// ceiling.
bool IsEligible(const Peer& peer) {
  return peer.reachable && peer.last_received && !peer.draining;
}

}  // namespace

WitnessSelector::WitnessSelector(Member self, WitnessLimits limits)
    : m_self(std::move(self)), m_limits(limits) {}

WitnessVerdict WitnessSelector::Evaluate(core::TimePoint now,
                                         const std::optional<MemberId>& current,
                                         const std::vector<Peer>& peers) {
  const std::optional<Candidate> best = BestCandidate(peers);
  if (!current) {
    m_unavailable_since.reset();
    return best ? WitnessVerdict(ChooseWitness{best->id}) : KeepWitness{};
  }
  const Peer* peer = FindPeer(peers, *current);
  if (peer != nullptr && IsEligible(*peer)) {
    m_unavailable_since.reset();
    return UpgradeDue(now, *peer, best)
               ? WitnessVerdict(ChooseWitness{best->id})
               : KeepWitness{};
  }
  m_upgrade_possible_since.reset();
  if (!m_unavailable_since) {
    m_unavailable_since = now;
  }
  return Replace(now - *m_unavailable_since, peer, best);
}

WitnessVerdict WitnessSelector::Replace(core::Duration unavailable_for,
                                        const Peer* current,
                                        const std::optional<Candidate>& best) {
  const bool leaving = current == nullptr || current->draining;
  if (best && (leaving || unavailable_for >= m_limits.replace_after)) {
    return ChooseWitness{best->id};
  }
  // Without a witness to raise the ceiling, work would stop at it although the
  // holding has tokens. Without a ceiling, a crash strands the whole holding.
  if (!best && unavailable_for >= m_limits.give_up_after) {
    return ChooseNoWitness{};
  }
  return KeepWitness{};
}

bool WitnessSelector::IsBetter(const Candidate& a, const Candidate& b) {
  if (a.other_domain != b.other_domain) {
    return a.other_domain;
  }
  if (a.excess_witnessed != b.excess_witnessed) {
    return a.excess_witnessed < b.excess_witnessed;
  }
  return a.rank > b.rank;
}

std::optional<WitnessSelector::Candidate> WitnessSelector::BestCandidate(
    const std::vector<Peer>& peers) const {
  const std::map<MemberId, size_t> witnessed_counts =
      CountWitnessed(m_self.id, peers);
  const std::string own_name = RendezvousName(m_self.id);
  std::optional<Candidate> best;
  for (const Peer& peer : peers) {
    const MemberId& id = peer.member.id;
    // A router must not be its own witness: it would lose the acknowledged
    // ceilings in the crash.
    if (id.router == m_self.id.router || !IsEligible(peer)) {
      continue;
    }
    const auto counted = witnessed_counts.find(id);
    const size_t count =
        counted == witnessed_counts.end() ? 0 : counted->second;
    Candidate candidate;
    candidate.id = id;
    candidate.other_domain =
        peer.member.failure_domain != m_self.failure_domain;
    candidate.excess_witnessed = count >= m_limits.max_witnessed
                                     ? count + 1 - m_limits.max_witnessed
                                     : 0;
    candidate.rank = core::RendezvousRank(own_name, RendezvousName(id));
    if (!best || IsBetter(candidate, *best)) {
      best = std::move(candidate);
    }
  }
  return best;
}

bool WitnessSelector::UpgradeDue(core::TimePoint now,
                                 const Peer& current,
                                 const std::optional<Candidate>& best) {
  const bool same_domain =
      current.member.failure_domain == m_self.failure_domain;
  if (!same_domain || !best || !best->other_domain) {
    m_upgrade_possible_since.reset();
    return false;
  }
  if (!m_upgrade_possible_since) {
    m_upgrade_possible_since = now;
  }
  return now - *m_upgrade_possible_since >= m_limits.upgrade_after;
}

}  // namespace coppervalve::membership
