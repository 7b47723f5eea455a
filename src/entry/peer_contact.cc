#include "coppervalve/entry/peer_contact.h"

namespace coppervalve::entry {

namespace {

// Reports are repeated every 0.3 s: one of two may be lost.
constexpr core::Duration kWordHolds{650'000};
// One of so many is less than half.
constexpr uint32_t kMostLikely = 2;

}  // namespace

void PeerContact::OnReport(const core::RouterId& router,
                           bool store_up,
                           core::TimePoint now) {
  m_peers[router] = {now, store_up};
}

bool PeerContact::Heard(const Peer& peer, core::TimePoint now) const {
  return now - peer.heard < m_silence;
}

bool PeerContact::HearsAny(core::TimePoint now) const {
  for (const auto& [router, peer] : m_peers) {
    if (Heard(peer, now)) {
      return true;
    }
  }
  return false;
}

bool PeerContact::Lost(const core::RouterId& router,
                       core::TimePoint now) const {
  const auto found = m_peers.find(router);
  if (found == m_peers.end() || Heard(found->second, now)) {
    return false;
  }
  return now - found->second.heard < m_memory && HearsAny(now);
}

// In a cut of all routers each still had the others' word from before it, that
// they reach the store, and sent its callers to them: they were refused again
// at once, a hundred a cut. A router that lost the store knows so after nine
// tenths of a second at the earliest, and by then such a word is too old.
uint32_t PeerContact::WithStore(core::TimePoint now) const {
  uint32_t count = 0;
  for (const auto& [router, peer] : m_peers) {
    const bool fresh = now - peer.heard < kWordHolds;
    count += fresh && peer.store_up ? 1 : 0;
  }
  return count;
}

// A caller picks one of the active routers by chance. Where only a few of them
// say that they reach the store, all others are cut off as this one is, and
// each refuses the caller anew.
bool PeerContact::OthersReachStore(uint32_t active, core::TimePoint now) const {
  return WithStore(now) * kMostLikely > active;
}

}  // namespace coppervalve::entry
