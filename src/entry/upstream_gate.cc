#include "coppervalve/entry/upstream_gate.h"

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

bool UpstreamGate::Cold(const Upstream& upstream, core::TimePoint now) const {
  const WarmUp* warm_up = WarmUpOf(upstream);
  return warm_up != nullptr && IsCold(upstream.warm_up, *warm_up, now);
}

// Least load finds a cold upstream attractive, just as all its places are free,
// and a hot prefix whose owner ended goes to one new owner at once. An upstream
// that gets more than it bears while it is cold falls over again.
Passage UpstreamGate::Of(const Upstream& upstream, core::TimePoint now) const {
  if (m_evacuations.Contains(upstream.entry.failure_domain)) {
    return Passage::kEvacuated;
  }
  if (!Cold(upstream, now) || !m_senders->options().limit) {
    return Passage::kOpen;
  }
  const double bound =
      WarmUpOf(upstream)->per_second * m_bounds.overage + m_bounds.slack;
  const uint32_t part =
      m_senders->PartOf(upstream.entry.id, upstream.warm_up, bound, now);
  return upstream.warm_up.sends.InLastSecond(now) < part ? Passage::kOpen
                                                         : Passage::kWarmingUp;
}

// Noted of warm ones too: what went out just before one became cold counts.
void UpstreamGate::OnSend(Upstream& upstream, core::TimePoint now) const {
  if (WarmUpOf(upstream) != nullptr) {
    upstream.warm_up.sends.Add(now);
  }
}

// One that comes back under its old id may answer before its record is read.
void UpstreamGate::OnOutcome(Upstream& upstream,
                             AttemptOutcome outcome,
                             core::TimePoint now) const {
  WarmUpState& state = upstream.warm_up;
  switch (outcome) {
    case AttemptOutcome::kUnreachable:
      state.unreachable_at = now;
      return;
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kOwnFailure:
    case AttemptOutcome::kDeclined:
      if (state.unreachable_at) {
        state.unreachable_at.reset();
        state.began = now;
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
