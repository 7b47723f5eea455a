#include "coppervalve/entry/upstream_gate.h"

#include <algorithm>  // min

namespace coppervalve::entry {

void UpstreamGate::OnConfiguration(const Configuration& configuration) {
  m_warm_ups.clear();
  for (const Service& service : configuration.services) {
    if (service.warm_up) {
      m_warm_ups.emplace(service.name, *service.warm_up);
    }
  }
}

const WarmUp* UpstreamGate::WarmUpOf(const Upstream& upstream) const {
  const auto found = m_warm_ups.find(upstream.entry.service);
  return m_senders == nullptr || found == m_warm_ups.end() ? nullptr
                                                           : &found->second;
}

bool UpstreamGate::CountsAsCold(const Upstream& upstream,
                                core::TimePoint now) const {
  const WarmUp* warm_up = WarmUpOf(upstream);
  return warm_up != nullptr && IsCold(upstream.warm_up, *warm_up, now);
}

// Placement by least load prefers a cold upstream, as all its slots are free,
// and when the owner of a hot prefix terminates, all requests with that prefix
// move to one new owner at once. An upstream that gets more than it can handle
// while it is cold fails again.
GateState UpstreamGate::StateOf(const Upstream& upstream,
                                core::TimePoint now) const {
  if (m_evacuations.Contains(upstream.entry.failure_domain)) {
    return GateState::kEvacuated;
  }
  if (now < upstream.paused_until) {
    return GateState::kPaused;
  }
  if (upstream.limit.per_second() && now < NextWithinLimit(upstream, now)) {
    return GateState::kLimited;
  }
  if (now < upstream.brittleness.NextSend(PositionOf(upstream, now), now)) {
    return GateState::kBrittle;
  }
  return AllowsOneMore(upstream, now) ? GateState::kOpen
                                      : GateState::kWarmingUp;
}

bool UpstreamGate::AllowsOneMore(const Upstream& upstream,
                                 core::TimePoint now) const {
  if (!CountsAsCold(upstream, now) || !m_senders->options().enforce) {
    return true;
  }
  const double bound =
      WarmUpOf(upstream)->per_second * m_bounds.overage + m_bounds.slack;
  const uint32_t share =
      m_senders->ShareOf(upstream.entry.id, upstream.sender_rank, bound, now);
  return upstream.warm_up.sends.InLastSecond(now) < share;
}

core::TimePoint UpstreamGate::NextWithinLimit(const Upstream& upstream,
                                              core::TimePoint now) const {
  return upstream.limit.NextSend(PositionOf(upstream, now), m_limits);
}

SenderPosition UpstreamGate::PositionOf(const Upstream& upstream,
                                        core::TimePoint now) const {
  return m_senders == nullptr
             ? SenderPosition()
             : m_senders->PositionOf(upstream.entry.id, upstream.sender_rank,
                                     now);
}

core::TimePoint UpstreamGate::NextOfService(
    const std::vector<UpstreamRef>& upstreams,
    core::TimePoint now) const {
  core::TimePoint first = core::TimePoint::max();
  for (const UpstreamRef& upstream : upstreams) {
    if (upstream->limit.per_second()) {
      first = std::min(first, NextWithinLimit(*upstream, now));
    }
  }
  return first;
}

// Recorded for all upstreams: requests sent just before an upstream became cold
// or sent a limit count too.
void UpstreamGate::OnSend(Upstream& upstream, core::TimePoint now) const {
  upstream.limit.OnSend(now);
  if (WarmUpOf(upstream) != nullptr) {
    upstream.warm_up.sends.Add(now);
  }
}

// An upstream that restarts under its old id may respond before its new record
// is read.
void UpstreamGate::OnOutcome(Upstream& upstream,
                             AttemptOutcome outcome,
                             core::TimePoint now) const {
  WarmUpState& state = upstream.warm_up;
  switch (outcome) {
    case AttemptOutcome::kUnreachable:
      state.unreachable_at = now;
      return;
    case AttemptOutcome::kDeclined:
      upstream.brittleness.OnRejected(now);
      [[fallthrough]];
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kOwnFailure:
      if (state.unreachable_at) {
        state.unreachable_at.reset();
        state.cold_since = now;
      }
      return;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kMisaddressed:
    case AttemptOutcome::kWithheld:
      return;
  }
}

}  // namespace coppervalve::entry
