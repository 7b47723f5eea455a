#include "coppervalve/entry/peer_contact.h"

namespace coppervalve::entry {

namespace {

// Reports are sent every 0.3 s; one of two may be lost.
constexpr core::Duration kReportLifetime{650'000};
// A majority: more than one in two.
constexpr uint32_t kMajorityFactor = 2;

}  // namespace

void PeerContact::OnReport(const core::RouterId& router,
                           bool store_up,
                           core::TimePoint now) {
  Peer& peer = m_peers[router];
  peer.last_received = now;
  peer.store_up = store_up;
  if (store_up) {
    peer.last_up = now;
  }
}

bool PeerContact::ReceivedRecently(const Peer& peer,
                                   core::TimePoint now) const {
  return now - peer.last_received < m_timeout;
}

bool PeerContact::ReceivedRecentlyFromAny(core::TimePoint now) const {
  for (const auto& [router, peer] : m_peers) {
    if (ReceivedRecently(peer, now)) {
      return true;
    }
  }
  return false;
}

bool PeerContact::IsLost(const core::RouterId& router,
                         core::TimePoint now) const {
  const auto found = m_peers.find(router);
  if (found == m_peers.end() || ReceivedRecently(found->second, now)) {
    return false;
  }
  return now - found->second.last_received < m_retention &&
         ReceivedRecentlyFromAny(now);
}

// If all routers lose the store at once, each still has earlier reports in
// which the others state that they reach it. Callers sent to them were refused
// again at once, about a hundred per partition. A router notices the loss of
// the store after 0.9 s at the earliest, and by then such a report has expired.
uint32_t PeerContact::CountReachingStore(core::TimePoint now) const {
  uint32_t count = 0;
  for (const auto& [router, peer] : m_peers) {
    const bool fresh = now - peer.last_received < kReportLifetime;
    count += fresh && peer.store_up ? 1 : 0;
  }
  return count;
}

// A router whose reports stopped after one that states that it reaches the
// store may still do so: only the way to this router may be broken.
bool PeerContact::NoneReachesStoreSince(core::TimePoint since,
                                        core::TimePoint now) const {
  for (const auto& [router, peer] : m_peers) {
    const bool tracked = since - peer.last_received < m_retention;
    const bool may_be_up = tracked && peer.store_up;
    if (may_be_up || (peer.last_up && *peer.last_up > since)) {
      return false;
    }
  }
  return ReceivedRecentlyFromAny(now);
}

// A caller picks an active router at random. If only a few of them report that
// they reach the store, the others are disconnected from it like this router
// and would refuse the caller again.
bool PeerContact::OthersReachStore(uint32_t active, core::TimePoint now) const {
  return CountReachingStore(now) * kMajorityFactor > active;
}

}  // namespace coppervalve::entry
