#ifndef COPPERVALVE_MEMBERSHIP_PEER_VIEW_H_
#define COPPERVALVE_MEMBERSHIP_PEER_VIEW_H_

#include <cstddef>   // size_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/membership/freshness.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::membership {

/// @brief Limits of the exchange of heartbeats.
struct PeerLimits {
  core::Duration heartbeat_interval = std::chrono::seconds(1);
  /// A peer is reachable if a heartbeat from it arrived within this time.
  core::Duration suspect_after = std::chrono::milliseconds(3'000);
  /// A suspected peer becomes reachable after its heartbeats have arrived for
  /// this long.
  core::Duration recovery_delay = std::chrono::milliseconds(1'500);
  /// How long a failed send makes a peer unreachable that exchanges no
  /// heartbeats with this router.
  core::Duration send_failure_lifetime = std::chrono::seconds(5);
  size_t full_mesh_members = 12;  ///< up to this many, a full mesh
  size_t contacts = 8;            ///< chosen by this router in a larger fleet
  size_t max_contacts = 24;       ///< of all kinds, see PeersToContact()
  size_t max_heartbeat_bytes = 1'024;
};

/// @brief Load that a peer last reported.
struct PeerLoad {
  uint32_t in_progress = 0;
  uint32_t queued = 0;
};

/// @brief Current state of a peer as seen by this router.
struct Peer {
  Member member;
  bool contacted = false;  ///< heartbeats are exchanged with it
  bool reachable = false;
  bool draining = false;  ///< according to the log or its heartbeat
  std::optional<core::TimePoint> last_received;
  PeerLoad load;
  core::ConfigVersion config_version;
  std::vector<v1::Spare> spares;
};

/// @brief All other routers of the fleet: membership from the log, everything
/// else from heartbeats. Suspicion affects only forwarding and selection, never
/// membership.
class PeerView {
 public:
  explicit PeerView(Member self, PeerLimits limits = {});

  /// @brief Sets the live members of the fold, which may include this router.
  /// @complexity O(n log n)
  void SetMembers(const std::vector<Member>& members);
  /// @brief Keeps a peer (this router's witness) among the contacts.
  void SetPinned(std::optional<MemberId> peer);

  /// @brief Handles a heartbeat; ignored when the sender is not a member with
  /// that incarnation.
  void OnHeartbeat(core::TimePoint now,
                   const MemberId& from,
                   const v1::Heartbeat& heartbeat);
  void OnSendFailed(core::TimePoint now, const core::RouterId& router);

  /// @brief Peers that heartbeats are sent to. A small fleet is a full mesh. In
  /// a large one they are a bounded set, chosen by rendezvous hashing and
  /// spread over failure domains, plus the pinned peer, the routers that this
  /// one is the witness of, and the peers that have chosen this router.
  /// @complexity O(n), and O(n log n) for each contact once after a change of
  /// members
  std::vector<MemberId> PeersToContact(core::TimePoint now) const;
  /// @return whether a heartbeat is due; the caller then sends one to each of
  /// PeersToContact()
  bool HeartbeatDue(core::TimePoint now);
  /// @brief Truncates a heartbeat to max_heartbeat_bytes.
  void Bound(v1::Heartbeat& heartbeat) const;

  bool Reachable(core::TimePoint now, const MemberId& peer) const;
  std::optional<Peer> Find(core::TimePoint now, const MemberId& peer) const;
  std::vector<Peer> Peers(core::TimePoint now) const;
  /// @return the active member with the highest rank for a key, including this
  /// router and unreachable members, so that the views of routers differ less
  /// @complexity O(n)
  const Member& OwnerOf(const core::Hash128& key) const;
  const Member& self() const { return m_self; }
  size_t live_members() const { return m_peers.size() + 1; }

  /// @brief The reports of all contacts about the log, for Freshness.
  std::vector<PeerLogReport> LogReports(core::TimePoint now) const;
  /// @return whether the contacts are only a sample of the fleet
  bool Sampled() const { return live_members() > m_limits.full_mesh_members; }

  /// @brief Peers for the status reply, sorted by router id.
  std::vector<v1::PeerStatus> Status(core::TimePoint now) const;

 private:
  struct Entry {
    Member member;
    std::string name;  // for rendezvous hashing
    std::optional<core::TimePoint> last_received;
    std::optional<core::TimePoint> suspected_until;
    std::optional<core::TimePoint> send_failed;
    std::optional<core::TimePoint> read_to_end;  // see PeerLogReport
    std::optional<core::TimePoint> claimed_read_to_end;
    core::ConfigVersion config_version;
    core::ConfigVersion known_version;
    bool draining = false;
    PeerLoad load;
    std::vector<v1::Spare> spares;
  };

  Entry* FindRouter(const core::RouterId& router);
  std::vector<MemberId> ContactsChosenBy(const Member& chooser) const;
  bool HasChosenThisRouter(const Entry& entry) const;
  bool ReceivedRecently(core::TimePoint now, const Entry& entry) const;
  bool IsContact(core::TimePoint now, const Entry& entry) const;
  bool EntryReachable(core::TimePoint now, const Entry& entry) const;
  Peer Describe(core::TimePoint now, const Entry& entry) const;

  Member m_self;
  PeerLimits m_limits;
  std::string m_name;
  std::map<MemberId, Entry> m_peers;
  std::vector<MemberId> m_chosen;
  // Whether a peer has chosen this router as a contact. Computed on a heartbeat
  // of the peer and valid until the members change.
  mutable std::map<MemberId, bool> m_chosen_by;
  std::optional<MemberId> m_pinned;
  std::optional<core::TimePoint> m_heartbeat_sent;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_PEER_VIEW_H_
