#ifndef COPPERVALVE_ENTRY_MEMBER_LIST_H_
#define COPPERVALVE_ENTRY_MEMBER_LIST_H_

#include <cstdint>      // uint32_t
#include <map>          // map
#include <optional>     // optional
#include <set>          // set
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/active_set.h"
#include "coppervalve/entry/fleet_view.h"
#include "coppervalve/entry/peer_contact.h"
#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

/// @brief The routers of the fleet according to their heartbeats. Provides the
/// addresses that callers get and the counts by which fleet-wide limits are
/// divided.
class MemberList {
 public:
  /// @param silence minimum time without a heartbeat after which a router
  /// counts as failed, while the store is readable
  /// @param least_active minimum number of active routers, if there are as many
  MemberList(core::RouterId self,
             core::Duration silence,
             const PeerContact& peers,
             size_t least_active = ActiveSetRequirements{}.min_routers)
      : m_self(std::move(self)),
        m_silence(silence),
        m_peers(peers),
        m_least_active(least_active) {}

  /// @brief Takes a heartbeat, which counts from the next Refresh() or
  /// Advance() on.
  void OnHeartbeat(const core::RouterId& router, const v1::RouterBeat& beat);
  /// @brief Updates the active routers after heartbeats were read.
  void Refresh(core::TimePoint now);
  /// @brief Takes over the view of another router instead of heartbeats, until
  /// the next Refresh().
  void AdoptView(FleetView view);
  /// @return what this router knows of the fleet
  FleetView View() const;
  /// @param contact with the topic of the heartbeats. Time counts as silence
  /// only while the topic is readable. If no heartbeat of any router is read,
  /// the list stays unchanged for a while.
  /// @param longest_period longest regular time between heartbeats of a router
  void Advance(const StoreContact& contact,
               core::TimePoint now,
               core::Duration longest_period = {});

  /// @return addresses of the active routers for callers
  std::vector<std::string> Addresses() const;
  /// @return addresses of the other active routers for load reports
  std::vector<std::string> LoadAddresses() const;
  /// @return such addresses of the standbys that become active first
  std::vector<std::string> NextLoadAddresses() const;
  /// @return number of active routers; at least 1
  uint32_t ActiveCount() const;
  /// @return whether this router is active
  bool SelfActive() const { return m_active.contains(m_self); }
  /// @return least capacity of the active routers and those that are next; 0
  /// if unknown
  double LeastCapacity() const;
  /// @return whether this router is active, or would be if twice the capacity
  /// and number of routers were needed
  bool SelfActiveOrNext() const { return m_self_active_or_next; }
  /// @return the highest number of upstreams in the directory of a live router
  size_t MaxUpstreamCount() const;
  /// @return number of active routers that rendezvous hashing prefers to this
  /// one for a key. Routers with the same list agree on the ranks without
  /// communication.
  uint32_t ActiveRankedAbove(std::string_view key) const;
  /// @return a version number of the set of active routers
  uint64_t ActiveVersion() const { return m_active_version; }
  /// @return whether rendezvous hashing assigns a key to this router. Routers
  /// with the same list agree on the owner without communication.
  bool SelfOwns(std::string_view key) const;
  /// @return address of a live router for datagrams; empty if it has none
  std::string LoadAddressOf(const core::RouterId& router) const;
  /// @return time since a router was last seen for the first time; 0 if none
  /// was seen yet
  core::Duration SinceLastJoined(core::TimePoint now) const {
    return m_counted == 0 ? core::Duration::zero() : now - m_last_joined;
  }
  /// @return number of live routers, this one included; at least 1
  uint32_t LiveCount() const;
  /// @return number of routers that are or recently were live
  uint32_t KnownCount() const;

 private:
  struct Member {
    RouterAddresses addresses;
    core::FailureDomainId failure_domain;
    double capacity = 0;
    double load = 0;
    uint32_t upstreams = 0;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    bool live = true;
    core::Duration silent_for{};
  };
  core::Duration ShortestSilence() const;
  void DropSilent(core::Duration silence);
  void UpdateActive(core::TimePoint now);
  void SetActive(std::map<core::RouterId, RouterAddresses> active);
  double Load() const;

  core::RouterId m_self;
  core::Duration m_silence;
  const PeerContact& m_peers;
  size_t m_least_active;
  std::map<core::RouterId, Member> m_members;
  std::map<core::RouterId, RouterAddresses> m_active;
  std::set<core::RouterId> m_next;  ///< become active first
  bool m_outdated = false;          ///< heartbeats changed the candidates
  size_t m_counted = 0;             ///< members at the last refresh
  core::TimePoint m_last_joined{};  ///< when a router was last seen first
  std::optional<FleetView> m_view;  ///< of another router
  uint64_t m_active_version = 1;
  bool m_self_active_or_next = false;
  double m_required_capacity = 0;  ///< requests per second of active routers
  core::TimePoint m_advanced{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_MEMBER_LIST_H_
