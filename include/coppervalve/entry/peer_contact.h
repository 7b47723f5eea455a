#ifndef COPPERVALVE_ENTRY_PEER_CONTACT_H_
#define COPPERVALVE_ENTRY_PEER_CONTACT_H_

#include <cstdint>        // uint32_t
#include <optional>       // optional
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Tracks which other routers send reports directly and which of them
/// reach the durable store. Detects a failed router sooner than the store does,
/// and lets a router that cannot reach the store determine whether other
/// routers still reach it.
class PeerContact {
 public:
  /// @param timeout time without a report after which a router counts as lost
  /// @param retention time after which a silent router is no longer tracked
  PeerContact(core::Duration timeout, core::Duration retention)
      : m_timeout(timeout), m_retention(retention) {}

  void OnReport(const core::RouterId& router,
                bool store_up,
                core::TimePoint now);

  /// @return whether the router's reports have stopped while those of other
  /// routers still arrive. A router that receives no reports at all may itself
  /// be disconnected, so it considers none as lost. Standbys send no reports,
  /// so the retention time is short.
  bool IsLost(const core::RouterId& router, core::TimePoint now) const;
  /// @return number of routers whose latest report is recent and states that
  /// they reach the store
  uint32_t CountReachingStore(core::TimePoint now) const;
  /// @return whether another router's report was received recently, since
  /// `since` no report stated that its router reaches the store, and neither
  /// did the last one of any router that was still tracked at that time
  bool NoneReachesStoreSince(core::TimePoint since, core::TimePoint now) const;
  /// @return whether a caller that is sent to another of `active` routers most
  /// likely finds one that reaches the store
  bool OthersReachStore(uint32_t active, core::TimePoint now) const;

 private:
  struct Peer {
    core::TimePoint last_received;
    bool store_up = false;
    std::optional<core::TimePoint> last_up;
  };
  bool ReceivedRecently(const Peer& peer, core::TimePoint now) const;
  bool ReceivedRecentlyFromAny(core::TimePoint now) const;

  core::Duration m_timeout;
  core::Duration m_retention;
  std::unordered_map<core::RouterId, Peer> m_peers;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PEER_CONTACT_H_
