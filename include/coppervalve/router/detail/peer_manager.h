#ifndef COPPERVALVE_ROUTER_DETAIL_PEER_MANAGER_H_
#define COPPERVALVE_ROUTER_DETAIL_PEER_MANAGER_H_

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

/// @brief The other routers: their addresses and reachability, the choice of
/// the witness, and the routers to retire.
class PeerManager {
 public:
  PeerManager(const RouterSettings& settings,
              core::Incarnation incarnation,
              Outbox& outbox);

  /// @brief Updates the members after they changed in the fold.
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
  /// @param make creates the heartbeat; called at most once
  template <typename Make>
  void SendHeartbeatIfDue(core::TimePoint now, const Make& make);
  void OnHeartbeat(core::TimePoint now,
                   const membership::MemberId& from,
                   const v1::Heartbeat& heartbeat);
  void OnSendFailed(core::TimePoint now, const core::RouterId& router);

  /// @return RouterRetired records to append
  std::vector<v1::RouterRetired> TakeRetirements(core::TimePoint now);
  membership::WitnessVerdict EvaluateWitness(
      core::TimePoint now,
      const std::optional<budget::PeerRef>& current);
  /// @brief Whether new work may be accepted under this configuration version.
  membership::FreshnessVerdict EvaluateFreshness(core::TimePoint now,
                                                 core::ConfigVersion version,
                                                 const ledger::Fold& fold);
  std::optional<core::Duration> LogAge(core::TimePoint now) const;

  /// @brief State and request address of an incarnation, as seen by this
  /// router.
  request::Location Locate(core::TimePoint now,
                           const request::Origin& origin,
                           const ledger::Fold& fold) const;
  /// @brief The live router chosen by rendezvous hashing for a key.
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
  std::optional<core::TimePoint> m_last_retirement_check;
};

template <typename Make>
void PeerManager::SendHeartbeatIfDue(core::TimePoint now, const Make& make) {
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

/// @brief Converts a member of the fold to the type used by membership.
membership::Member ToMember(const ledger::Member& member);

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_PEER_MANAGER_H_
