#include "coppervalve/router/detail/peer_manager.h"

#include <chrono>   // milliseconds, seconds
#include <utility>  // move

namespace coppervalve::router::detail {

using core::TimePoint;
using membership::Member;
using membership::MemberId;

namespace {

/// SilentMemberDetector needs no finer resolution. Reads of a busy log end far
/// more often, and each check is linear in the members.
constexpr core::Duration kRetirementCheckInterval =
    std::chrono::milliseconds(500);
constexpr core::Duration kDefaultFreshness = std::chrono::seconds(8);

Member SelfOf(const RouterSettings& settings, core::Incarnation incarnation) {
  Member self;
  self.id = {settings.router, incarnation};
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.operator_address = settings.operator_address;
  self.failure_domain = settings.failure_domain;
  self.region = membership::RegionId(settings.region);
  return self;
}

std::vector<Member> MembersOf(const ledger::Fold& fold) {
  std::vector<Member> members;
  for (const ledger::Member* member : fold.LiveMembers()) {
    members.push_back(ToMember(*member));
    members.back().voter = fold.IsVoter(member->incarnation);
  }
  return members;
}

}  // namespace

Member ToMember(const ledger::Member& from) {
  Member member;
  member.id = {from.id, from.incarnation};
  member.caller_address = from.joined.caller_address();
  member.peer_address = from.joined.peer_address();
  member.operator_address = from.joined.operator_address();
  member.failure_domain = core::FailureDomainId(from.joined.failure_domain());
  member.region = membership::RegionId(from.joined.region());
  member.phase = from.phase == v1::DRAINING ? membership::MemberPhase::kDraining
                                            : membership::MemberPhase::kActive;
  member.last_sequence = from.last_sequence;
  if (!from.witness.empty()) {
    member.witness = MemberId{from.witness, from.witness_incarnation};
  }
  return member;
}

PeerManager::PeerManager(const RouterSettings& settings,
                         core::Incarnation incarnation,
                         Outbox& outbox)
    : m_outbox(outbox),
      m_view(SelfOf(settings, incarnation)),
      m_freshness(kDefaultFreshness),
      m_retirements(m_view.self().id),
      m_witness(m_view.self()) {}

void PeerManager::SetMembers(const ledger::Fold& fold) {
  m_view.SetMembers(MembersOf(fold));
}

void PeerManager::OnReadToEnd(TimePoint now,
                              TimePoint issued,
                              const ledger::Fold& fold) {
  m_freshness.OnReadToEnd(issued);
  if (m_last_retirement_check.has_value() &&
      now - *m_last_retirement_check < kRetirementCheckInterval) {
    return;
  }
  m_last_retirement_check = now;
  m_retirements.OnReadToEnd(issued, MembersOf(fold));
}

void PeerManager::SetRetireAfter(core::Duration bound) {
  m_retirements.SetRetireAfter(bound);
}

void PeerManager::Send(TimePoint now,
                       const budget::PeerRef& to,
                       v1::PeerMessage message) {
  const auto peer = m_view.Find(now, {to.router, to.incarnation});
  if (!peer.has_value()) {
    return;
  }
  message.set_from_router(self().id.router.value());
  message.set_from_incarnation(self().id.incarnation.value());
  message.set_to_incarnation(to.incarnation.value());
  m_outbox.Add(
      SendPeer{to.router, peer->member.peer_address, std::move(message)});
}

void PeerManager::OnHeartbeat(TimePoint now,
                              const MemberId& from,
                              const v1::Heartbeat& heartbeat) {
  m_view.OnHeartbeat(now, from, heartbeat);
}

void PeerManager::OnSendFailed(TimePoint now, const core::RouterId& router) {
  m_view.OnSendFailed(now, router);
}

std::vector<v1::RouterRetired> PeerManager::TakeRetirements(TimePoint now) {
  return m_retirements.TakeDue(now);
}

membership::WitnessVerdict PeerManager::EvaluateWitness(
    TimePoint now,
    const std::optional<budget::PeerRef>& current) {
  std::optional<MemberId> witness;
  if (current.has_value()) {
    witness = MemberId{current->router, current->incarnation};
  }
  m_view.SetPinned(witness);
  return m_witness.Evaluate(now, witness, m_view.Peers(now));
}

membership::FreshnessVerdict PeerManager::EvaluateFreshness(
    TimePoint now,
    core::ConfigVersion version,
    const ledger::Fold& fold) {
  membership::FreshnessInputs inputs;
  inputs.config_version = version;
  inputs.known_version = fold.known_version();
  inputs.voters = fold.voters();
  inputs.self_votes = fold.IsVoter(self().id.incarnation);
  inputs.sampled = m_view.Sampled();
  // This runs for each event, so the members are scanned only during outages.
  if (!m_freshness.ReadRecently(now)) {
    inputs.log_reports = m_view.LogReports(now);
  }
  return m_freshness.Evaluate(now, inputs);
}

std::optional<core::Duration> PeerManager::LogAge(TimePoint now) const {
  return m_freshness.LogAge(now);
}

request::Location PeerManager::Locate(TimePoint now,
                                      const request::Origin& origin,
                                      const ledger::Fold& fold) const {
  request::Location location;
  location.origin = origin;
  const ledger::Member* member =
      fold.FindMember(origin.router, origin.incarnation);
  if (member == nullptr) {
    return location;
  }
  location.address = member->joined.peer_address();
  if (!member->live()) {
    location.state = request::PeerState::kRetired;
    return location;
  }
  const bool reachable =
      m_view.Reachable(now, {origin.router, origin.incarnation});
  location.state = reachable ? request::PeerState::kReachable
                             : request::PeerState::kUnreachable;
  return location;
}

request::Location PeerManager::OwnerOf(TimePoint now,
                                       const core::Hash128& key) const {
  const Member& owner = m_view.OwnerOf(key);
  const bool here = owner.id == self().id;
  request::Location location;
  location.origin = {owner.id.router, owner.id.incarnation};
  location.address = owner.peer_address;
  location.state = here || m_view.Reachable(now, owner.id)
                       ? request::PeerState::kReachable
                       : request::PeerState::kUnreachable;
  return location;
}

}  // namespace coppervalve::router::detail
