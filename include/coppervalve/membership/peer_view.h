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

/// @brief Bounds of what peers exchange.
struct PeerLimits {
  core::Duration heartbeat_interval = std::chrono::seconds(1);
  /// A peer that was heard within this time is reachable.
  core::Duration suspect_after = std::chrono::milliseconds(3'000);
  /// A suspected peer must be heard for this long before it is reachable.
  core::Duration trust_after = std::chrono::milliseconds(1'500);
  /// How long a failed send counts against a peer that sends no heartbeats
  /// here.
  core::Duration send_failure_lifetime = std::chrono::seconds(5);
  size_t full_mesh_members = 12;  ///< up to this many, everybody is contacted
  size_t contacts = 8;            ///< chosen by this router past that
  size_t max_contacts = 24;       ///< with wards and those that chose this one
  size_t max_heartbeat_bytes = 1'024;
};

/// @brief What a peer last said of itself.
struct PeerLoad {
  uint32_t in_progress = 0;
  uint32_t queued = 0;
};

/// @brief A peer as this router sees it now.
struct Peer {
  Member member;
  bool contacted = false;  ///< heartbeats are exchanged with it
  bool reachable = false;
  bool draining = false;  ///< by the log or by its own heartbeat
  std::optional<core::TimePoint> heard;
  PeerLoad load;
  core::ConfigVersion config_version;
  std::vector<v1::Spare> spares;
};

/// @brief Everybody else in the fleet: membership from the log, the rest from
/// heartbeats. Suspicion affects forwarding and choice only, never membership.
class PeerView {
 public:
  explicit PeerView(Member self, PeerLimits limits = {});

  /// @brief Takes the live members of the fold (this router may be among them).
  /// @complexity O(n log n)
  void SetMembers(const std::vector<Member>& members);
  /// @brief Keeps a peer among the contacts (the witness of this router).
  void SetPinned(std::optional<MemberId> peer);

  /// @brief Ignored when the sender is no member under that incarnation.
  void OnHeartbeat(core::TimePoint now,
                   const MemberId& from,
                   const v1::Heartbeat& heartbeat);
  void OnSendFailed(core::TimePoint now, const core::RouterId& router);

  /// @brief Peers that get a heartbeat. Full mesh in a small fleet; else a
  /// bounded set by rendezvous hashing, spread over failure domains, with the
  /// pinned peer, the wards of this router and, as answers, those that chose
  /// it.
  /// @complexity O(n), and O(n log n) for each contact once after a change of
  /// members
  std::vector<MemberId> PeersToContact(core::TimePoint now) const;
  /// @return whether a heartbeat is due; the caller then sends one to each of
  /// PeersToContact
  bool HeartbeatDue(core::TimePoint now);
  /// @brief Cuts a heartbeat to its bound of bytes.
  void Bound(v1::Heartbeat& heartbeat) const;

  bool Reachable(core::TimePoint now, const MemberId& peer) const;
  std::optional<Peer> Find(core::TimePoint now, const MemberId& peer) const;
  std::vector<Peer> Peers(core::TimePoint now) const;
  /// @return the live active member with the highest rank for a key, this
  /// router included; unreachable ones too, so that views differ less
  /// @complexity O(n)
  const Member& OwnerOf(const core::Hash128& key) const;
  const Member& self() const { return m_self; }
  size_t live_members() const { return m_peers.size() + 1; }

  /// @brief What the contacts say about the log, for Freshness.
  std::vector<PeerLogReport> LogReports(core::TimePoint now) const;
  /// @return whether contacts are a sample of the fleet only
  bool Sampled() const { return live_members() > m_limits.full_mesh_members; }

  /// @brief For the status answer, in the order of router ids.
  std::vector<v1::PeerStatus> Status(core::TimePoint now) const;

 private:
  struct Entry {
    Member member;
    std::string name;  // for rendezvous hashing
    std::optional<core::TimePoint> heard;
    std::optional<core::TimePoint> distrusted_until;
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
  bool HeardRecently(core::TimePoint now, const Entry& entry) const;
  bool IsContact(core::TimePoint now, const Entry& entry) const;
  bool EntryReachable(core::TimePoint now, const Entry& entry) const;
  Peer Describe(core::TimePoint now, const Entry& entry) const;

  Member m_self;
  PeerLimits m_limits;
  std::string m_name;
  std::map<MemberId, Entry> m_peers;
  std::vector<MemberId> m_chosen;
  // Choices of others, computed when they are heard, until members change.
  mutable std::map<MemberId, bool> m_chosen_by;
  std::optional<MemberId> m_pinned;
  std::optional<core::TimePoint> m_heartbeat_sent;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_PEER_VIEW_H_
