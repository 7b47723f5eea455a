#include "coppervalve/membership/witness_choice.h"

#include <algorithm>  // find_if
#include <map>        // map
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::membership {

namespace {

std::map<MemberId, size_t> CountWards(const MemberId& self,
                                      const std::vector<Peer>& peers) {
  std::map<MemberId, size_t> wards;
  for (const Peer& peer : peers) {
    if (!peer.member.witness || peer.member.id == self) {
      continue;
    }
    ++wards[*peer.member.witness];
  }
  return wards;
}

const Peer* FindPeer(const std::vector<Peer>& peers, const MemberId& id) {
  const auto found =
      std::find_if(peers.begin(), peers.end(),
                   [&id](const Peer& peer) { return peer.member.id == id; });
  return found == peers.end() ? nullptr : &*found;
}

/// Only one that was heard can acknowledge a ceiling.
bool Fit(const Peer& peer) {
  return peer.reachable && peer.heard && !peer.draining;
}

}  // namespace

WitnessChoice::WitnessChoice(Member self, WitnessLimits limits)
    : m_self(std::move(self)), m_limits(limits) {}

WitnessVerdict WitnessChoice::Judge(core::TimePoint now,
                                    const std::optional<MemberId>& current,
                                    const std::vector<Peer>& peers) {
  const std::optional<Candidate> best = Best(peers);
  if (!current) {
    m_lost_since.reset();
    return best ? WitnessVerdict(ChooseWitness{best->id}) : KeepWitness{};
  }
  const Peer* peer = FindPeer(peers, *current);
  if (peer != nullptr && Fit(*peer)) {
    m_lost_since.reset();
    return UpgradeDue(now, *peer, best)
               ? WitnessVerdict(ChooseWitness{best->id})
               : KeepWitness{};
  }
  m_better_since.reset();
  if (!m_lost_since) {
    m_lost_since = now;
  }
  return Replace(now - *m_lost_since, peer, best);
}

WitnessVerdict WitnessChoice::Replace(core::Duration lost_for,
                                      const Peer* current,
                                      const std::optional<Candidate>& best) {
  const bool leaving = current == nullptr || current->draining;
  if (best && (leaving || lost_for >= m_limits.replace_after)) {
    return ChooseWitness{best->id};
  }
  // Without anyone to raise the ceiling, work would stop at it although the
  // holding has tokens. What a crash would strand then is the whole holding.
  if (!best && lost_for >= m_limits.give_up_after) {
    return ChooseNone{};
  }
  return KeepWitness{};
}

bool WitnessChoice::Better(const Candidate& a, const Candidate& b) {
  if (a.other_domain != b.other_domain) {
    return a.other_domain;
  }
  if (a.excess_wards != b.excess_wards) {
    return a.excess_wards < b.excess_wards;
  }
  return a.rank > b.rank;
}

std::optional<WitnessChoice::Candidate> WitnessChoice::Best(
    const std::vector<Peer>& peers) const {
  const std::map<MemberId, size_t> wards = CountWards(m_self.id, peers);
  const std::string own_name = RendezvousName(m_self.id);
  std::optional<Candidate> best;
  for (const Peer& peer : peers) {
    const MemberId& id = peer.member.id;
    // A router that is its own witness would lose its promise in the crash.
    if (id.router == m_self.id.router || !Fit(peer)) {
      continue;
    }
    const auto counted = wards.find(id);
    const size_t count = counted == wards.end() ? 0 : counted->second;
    Candidate candidate;
    candidate.id = id;
    candidate.other_domain =
        peer.member.failure_domain != m_self.failure_domain;
    candidate.excess_wards =
        count >= m_limits.max_wards ? count + 1 - m_limits.max_wards : 0;
    candidate.rank = core::RendezvousRank(own_name, RendezvousName(id));
    if (!best || Better(candidate, *best)) {
      best = std::move(candidate);
    }
  }
  return best;
}

bool WitnessChoice::UpgradeDue(core::TimePoint now,
                               const Peer& current,
                               const std::optional<Candidate>& best) {
  const bool same_domain =
      current.member.failure_domain == m_self.failure_domain;
  if (!same_domain || !best || !best->other_domain) {
    m_better_since.reset();
    return false;
  }
  if (!m_better_since) {
    m_better_since = now;
  }
  return now - *m_better_since >= m_limits.upgrade_after;
}

}  // namespace coppervalve::membership
