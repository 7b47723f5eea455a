#ifndef COPPERVALVE_ROUTER_DETAIL_PEER_DESK_H_
#define COPPERVALVE_ROUTER_DETAIL_PEER_DESK_H_

#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/membership/freshness.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/membership/peer_view.h"
#include "coppervalve/membership/silent_member_detector.h"
#include "coppervalve/membership/witness_selector.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"
#include "coppervalve/request/verdict.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::router::detail {

/// @brief The other routers: who they are, whether they answer, which of them
/// is this router's witness, and which must be retired.
class PeerDesk {
 public:
  PeerDesk(const RouterSettings& settings,
           core::Incarnation incarnation,
           Outbox& outbox);

  /// @brief Takes the members of the fold after they changed.
  void SetMembers(const ledger::Fold& fold);
  /// @brief A read reached the end of the log.
  /// @complexity linear in the members, at most every 500 ms
  void OnReadToEnd(core::TimePoint now,
                   core::TimePoint issued,
                   const ledger::Fold& fold);
  void SetFreshnessBound(core::Duration bound) { m_freshness.SetBound(bound); }
  void SetRetireAfter(core::Duration bound);

  /// @brief Sends a message to one incarnation, if it is a member.
  void Send(core::TimePoint now,
            const budget::PeerRef& to,
            v1::PeerMessage message);
  /// @brief Sends a heartbeat to all contacts when one is due.
  /// @param make called once if so
  template <typename Make>
  void Beat(core::TimePoint now, const Make& make);
  void OnHeartbeat(core::TimePoint now,
                   const membership::MemberId& from,
                   const v1::Heartbeat& heartbeat);
  void OnSendFailed(core::TimePoint now, const core::RouterId& router);

  /// @return RouterRetired records to append
  std::vector<v1::RouterRetired> TakeRetirements(core::TimePoint now);
  membership::WitnessVerdict JudgeWitness(
      core::TimePoint now,
      const std::optional<budget::PeerRef>& current);
  /// @brief Whether new work may be taken under this configuration version.
  membership::FreshnessVerdict JudgeFreshness(core::TimePoint now,
                                              core::ConfigVersion version,
                                              const ledger::Fold& fold);
  std::optional<core::Duration> LogAge(core::TimePoint now) const;

  /// @brief How this router sees an incarnation and where it takes work.
  request::Location Locate(core::TimePoint now,
                           const request::Origin& origin,
                           const ledger::Fold& fold) const;
  /// @brief The live router that rendezvous hashing picks for a key.
  request::Location OwnerOf(core::TimePoint now,
                            const core::Hash128& key) const;

  membership::PeerView& view() { return m_view; }
  const membership::PeerView& view() const { return m_view; }
  const membership::Member& self() const { return m_view.self(); }

 private:
  Outbox& m_outbox;
  membership::PeerView m_view;
  membership::Freshness m_freshness;
  membership::SilentMemberDetector m_retirements;
  membership::WitnessSelector m_witness;
  std::optional<core::TimePoint> m_watched;
};

template <typename Make>
void PeerDesk::Beat(core::TimePoint now, const Make& make) {
  if (!m_view.HeartbeatDue(now)) {
    return;
  }
  v1::PeerMessage message;
  *message.mutable_heartbeat() = make();
  m_view.Bound(*message.mutable_heartbeat());
  for (const membership::MemberId& contact : m_view.PeersToContact(now)) {
    Send(now, {contact.router, contact.incarnation}, message);
  }
}

/// @brief The fold's member in the form that membership works with.
membership::Member ToMember(const ledger::Member& member);

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_PEER_DESK_H_
