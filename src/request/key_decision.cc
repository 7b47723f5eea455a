#include "coppervalve/request/request_table.h"

#include <algorithm>  // find
#include <utility>    // move

namespace coppervalve::request {

namespace {

/// Retry-After of refusals with a temporary cause: an unreachable peer, an
/// unread claim, a full table.
constexpr core::Duration kShortRetryAfter = std::chrono::seconds(1);

Refuse RefuseWith(core::ErrorId id,
                  core::RunState run_state,
                  std::optional<core::Duration> retry_after = std::nullopt) {
  return {{id, "idempotency-key", {}}, run_state, retry_after};
}

Refuse UnknownOutcome(std::optional<core::Duration> retry_after) {
  return RefuseWith(core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown,
                    retry_after);
}

/// @return whether the verdict makes this router the one that runs the request
bool Admits(const KeyVerdict& verdict) {
  return std::holds_alternative<RunHere>(verdict) ||
         std::holds_alternative<NeedClaim>(verdict);
}

}  // namespace

RequestTable::Decision RequestTable::Decide(const DecisionInput& input) const {
  const RequestRecord& request = input.request;
  if (!request.key) {
    return {RunHere{}};
  }
  const RequestRecord* known = FindKey(*request.key);
  if (known == nullptr) {
    return DecideUnseen(input);
  }
  if (std::optional<Decision> decision = DecideKnown(request, *known)) {
    return *std::move(decision);
  }
  Decision decision = DecideUnseen(input);
  const bool ran_before = RunStateOf(*known) != core::RunState::kNotRun;
  decision.may_have_run |= ran_before && !request.non_idempotent;
  return decision;
}

/// Decides a request whose key has no record here, or that of a refused
/// request.
RequestTable::Decision RequestTable::DecideUnseen(
    const DecisionInput& input) const {
  const RequestRecord& request = input.request;
  // A retry may arrive after the record of its request has expired. Running it
  // again would, for example, hold a paid seat twice. The filter contains every
  // such key within its generations.
  if (request.non_idempotent && m_expired_keys.MayContain(*request.key)) {
    return {UnknownOutcome(std::nullopt)};
  }
  return input.origin ? DecideOriginBound(input) : DecideUnbound(input);
}

/// Decides again on a request that waited for another router, because its key
/// may have a record here by now.
RequestTable::Decision RequestTable::DecideAgain(const RequestRecord& request,
                                                 Decision otherwise) const {
  const RequestRecord* known = FindKey(*request.key);
  if (known == nullptr) {
    return otherwise;
  }
  return DecideKnown(request, *known).value_or(std::move(otherwise));
}

std::optional<RequestTable::Decision> RequestTable::DecideKnown(
    const RequestRecord& request,
    const RequestRecord& known) const {
  // The identity is not a cryptographic hash. If two accounts collide, the
  // second is refused, so that it never gets the answer of the first.
  if (known.account != request.account) {
    return Decision{
        RefuseWith(core::ErrorId::kBadRequest, core::RunState::kNotRun)};
  }
  if (known.body_hash != request.body_hash) {
    return Decision{RefuseWith(core::ErrorId::kKeyReusedWithOtherBody,
                               core::RunState::kNotRun)};
  }
  if (!IsFinal(known.phase)) {
    return Decision{Join{known.id}};
  }
  if (known.phase == Phase::kDone) {
    return known.kept_answer
               ? Decision{Join{known.id}}
               : Decision{RefuseWith(core::ErrorId::kAnswerExpired,
                                     core::RunState::kRan)};
  }
  if (known.phase == Phase::kRefused) {
    return std::nullopt;
  }
  if (known.non_idempotent || request.non_idempotent) {
    return Decision{UnknownOutcome(std::nullopt)};
  }
  return Decision{RunHere{}, false, true};
}

RequestTable::Decision RequestTable::DecideOriginBound(
    const DecisionInput& input) const {
  if (IsOwn(*input.origin)) {
    return {RunHere{}};
  }
  return DecideOwnedElsewhere(input.request, *input.origin);
}

RequestTable::Decision RequestTable::DecideUnbound(
    const DecisionInput& input) const {
  const RequestRecord& request = input.request;
  const std::optional<Origin> claimed = m_hooks.claim_of(*request.key);
  // A claim of this process without a record of a run: the request was refused
  // before it was sent, so it may run without a second claim.
  if (claimed && IsOwn(*claimed)) {
    return {RunHere{}};
  }
  if (claimed) {
    return DecideOwnedElsewhere(request, *claimed);
  }
  const Location owner = m_hooks.owner_of(*request.key);
  const bool elsewhere = owner.origin != m_self;
  if (elsewhere && !request.forwarded && owner.state == PeerState::kReachable) {
    return {ForwardTo{owner.origin.router, owner.origin.incarnation,
                      owner.address}};
  }
  if (request.non_idempotent) {
    return RequireClaim(input);
  }
  return {RunHere{}, false, elsewhere};
}

RequestTable::Decision RequestTable::RequireClaim(
    const DecisionInput& input) const {
  if (input.log_available) {
    return {NeedClaim{*input.request.key}, false, !input.fold_current};
  }
  // The first attempt may have claimed the key and run on a router that failed
  // since, and this router may not have read that claim. "Not run" is reported
  // only if the claim would have been read.
  const core::RunState run_state =
      input.fold_current ? core::RunState::kNotRun : core::RunState::kUnknown;
  return {RefuseWith(core::ErrorId::kClaimUnavailable, run_state,
                     kShortRetryAfter)};
}

bool RequestTable::IsOwn(const Origin& place) const {
  return place == m_self || std::find(m_adopted.begin(), m_adopted.end(),
                                      place) != m_adopted.end();
}

Location RequestTable::Locate(const Origin& place) const {
  // Another incarnation of this router has ended: this one replaced it.
  if (place.router == m_self.router) {
    return {place, PeerState::kRetired, {}};
  }
  return m_hooks.locate(place);
}

/// Decides a request whose key another incarnation has claimed, or that only
/// another incarnation may run.
RequestTable::Decision RequestTable::DecideOwnedElsewhere(
    const RequestRecord& request,
    const Origin& place) const {
  const Location location = Locate(place);
  const bool gone = location.state == PeerState::kRetired ||
                    location.state == PeerState::kUnknown;
  // Routers with different views could forward a request in a loop, so a
  // forwarded request is not forwarded again.
  if (location.state == PeerState::kReachable && !request.forwarded) {
    return {ForwardTo{place.router, place.incarnation, location.address}, true};
  }
  if (!request.non_idempotent) {
    return {RunHere{}, false, true};
  }
  if (gone) {
    return {RefuseWith(core::ErrorId::kOriginGone, core::RunState::kUnknown)};
  }
  return {UnknownOutcome(kShortRetryAfter)};
}

std::optional<Refuse> RequestTable::RefuseIfFull(
    const RequestRecord& request,
    const Decision& decision) const {
  const auto* join = std::get_if<Join>(&decision.verdict);
  if (join != nullptr && IsFinal(Find(join->leader)->phase)) {
    return std::nullopt;
  }
  const bool admits = Admits(decision.verdict);
  // A full table must not drop the record of a non-idempotent request that ran,
  // because its retry would run it again. A request is therefore admitted only
  // if its record fits for as long as answers are kept.
  const bool tombstones_full = admits && request.key &&
                               request.non_idempotent &&
                               m_tombstones >= m_limits.max_tombstones;
  if (m_open < m_limits.max_open && !tombstones_full) {
    return std::nullopt;
  }
  const bool not_run = admits && !decision.may_have_run;
  return RefuseWith(
      core::ErrorId::kBacklogFull,
      not_run ? core::RunState::kNotRun : core::RunState::kUnknown,
      kShortRetryAfter);
}

std::optional<Refuse> RequestTable::RefuseIfClosed(
    const Arrival& arrival,
    const Decision& decision) const {
  if (!arrival.closed || !Admits(decision.verdict)) {
    return std::nullopt;
  }
  const core::RunState run_state = decision.may_have_run
                                       ? core::RunState::kUnknown
                                       : core::RunState::kNotRun;
  return Refuse{*arrival.closed, run_state, kShortRetryAfter};
}

std::optional<KeyVerdict> RequestTable::OnForwardEnded(
    core::TimePoint now,
    core::RequestId id,
    const ForwardOutcome& outcome) {
  std::optional<RequestRecord> request = Extract(id);
  if (!request) {
    return std::nullopt;
  }
  if (outcome.answered) {
    RemoveJoiners(request->joiners);
    return std::nullopt;
  }
  Decision decision = DecideAfterForward(*request, outcome);
  return Admit(now, *std::move(request), std::move(decision));
}

RequestTable::Decision RequestTable::DecideAfterForward(
    const RequestRecord& request,
    const ForwardOutcome& outcome) const {
  // A second run would append its answer to the part already sent to the
  // caller.
  if (outcome.relayed) {
    return {RefuseWith(core::ErrorId::kAnswerCut, core::RunState::kUnknown)};
  }
  const bool may_have_run_there = outcome.sent || request.exclusive_target;
  if (!request.non_idempotent) {
    return DecideAgain(request, {RunHere{}, false, may_have_run_there});
  }
  if (may_have_run_there) {
    return {UnknownOutcome(kShortRetryAfter)};
  }
  const DecisionInput input{request, std::nullopt, outcome.log_available,
                            outcome.fold_current};
  return DecideAgain(request, RequireClaim(input));
}

std::vector<RequestVerdict> RequestTable::OnClaimLost(core::TimePoint now,
                                                      core::RequestId id,
                                                      const Origin& winner) {
  std::optional<RequestRecord> request = Extract(id);
  if (!request) {
    return {};
  }
  const Waiters joiners = request->joiners;
  const bool has_waiters = !request->caller_disconnected || !joiners.empty();
  Decision decision =
      has_waiters
          ? DecideAgain(*request, DecideOwnedElsewhere(*request, winner))
          : Decision{UnknownOutcome(std::nullopt)};
  const KeyVerdict verdict =
      Admit(now, *std::move(request), std::move(decision));
  std::vector<RequestVerdict> verdicts = {{id, verdict}};
  if (!std::holds_alternative<Refuse>(verdict)) {
    return verdicts;
  }
  for (const core::RequestId joiner : joiners) {
    verdicts.push_back({joiner, verdict});
  }
  return verdicts;
}

core::RunState RequestTable::RunStateOfKey(const core::AccountId& account,
                                           const KeyName& key) const {
  const core::Hash128 identity = key.IdentityFor(account);
  if (const RequestRecord* known = FindKey(identity)) {
    return RunStateOf(*known);
  }
  const bool bound_elsewhere = key.origin() && !IsOwn(*key.origin());
  const bool uncertain = bound_elsewhere ||
                         m_expired_keys.MayContain(identity) ||
                         m_hooks.claim_of(identity).has_value();
  return uncertain ? core::RunState::kUnknown : core::RunState::kNotRun;
}

StatusLookup RequestTable::StatusOf(core::TimePoint now,
                                    const core::AccountId& account,
                                    const KeyName& key,
                                    bool forwarded) const {
  const core::Hash128 identity = key.IdentityFor(account);
  StatusLookup lookup;
  v1::RequestStatus& status = lookup.status;
  status.set_key(key.text());
  const RequestRecord* known = FindKey(identity);
  if (known != nullptr && known->account == account) {
    DescribeTo(now, *known, status);
    return lookup;
  }
  status.set_state("unknown");
  status.set_run_state("unknown");
  if (m_expired_keys.MayContain(identity)) {
    status.set_error(core::ErrorCode(core::ErrorId::kAnswerExpired));
    return lookup;
  }
  status.set_error(core::ErrorCode(core::ErrorId::kNotFound));
  if (!forwarded) {
    lookup.forward_to = FindStatusSource(key, identity);
  }
  return lookup;
}

std::optional<ForwardTo> RequestTable::FindStatusSource(
    const KeyName& key,
    const core::Hash128& identity) const {
  std::optional<Origin> place = key.origin();
  if (!place) {
    place = m_hooks.claim_of(identity);
  }
  const Location location = place ? Locate(*place) : m_hooks.owner_of(identity);
  if (location.origin == m_self || location.state != PeerState::kReachable) {
    return std::nullopt;
  }
  return ForwardTo{location.origin.router, location.origin.incarnation,
                   location.address};
}

}  // namespace coppervalve::request
