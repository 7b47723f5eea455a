#ifndef COPPERVALVE_ENTRY_PEER_CONTACT_H_
#define COPPERVALVE_ENTRY_PEER_CONTACT_H_

#include <cstdint>        // uint32_t
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Which other routers are heard directly, and which of them reach the
/// durable store. Tells sooner than the store who is gone, and tells a router
/// that the store turned away whether the others are better off.
class PeerContact {
 public:
  /// @param silence after which a router that was heard before counts as lost
  /// @param memory after which nothing is known of it any more
  PeerContact(core::Duration silence, core::Duration memory)
      : m_silence(silence), m_memory(memory) {}

  void OnReport(const core::RouterId& router,
                bool store_up,
                core::TimePoint now);

  /// @return whether the router was heard a while ago and is not any more,
  /// while others still are: a router that hears nobody is cut off itself and
  /// can't tell. Routers that stand by are silent by design: that is why the
  /// memory is short.
  bool Lost(const core::RouterId& router, core::TimePoint now) const;
  /// @return routers that reach the store, by a word of a moment ago
  uint32_t WithStore(core::TimePoint now) const;
  /// @return whether a caller who is sent to another of `active` routers most
  /// likely finds one that reaches the store, by their word of a moment ago
  bool OthersReachStore(uint32_t active, core::TimePoint now) const;

 private:
  struct Peer {
    core::TimePoint heard;
    bool store_up = false;
  };
  bool Heard(const Peer& peer, core::TimePoint now) const;
  bool HearsAny(core::TimePoint now) const;

  core::Duration m_silence;
  core::Duration m_memory;
  std::unordered_map<core::RouterId, Peer> m_peers;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PEER_CONTACT_H_
