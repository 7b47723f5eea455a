#include "coppervalve/entry/upstream_health.h"

#include <algorithm>  // min, max
#include <cmath>      // exp2

namespace coppervalve::entry {

namespace {

constexpr double kOutcomeWeight = 0.12;
// The failure rate decays, so that a recovered upstream gets traffic without
// probes: probes cost the upstream and reveal less than real requests.
constexpr core::Duration kHalfLife{3'000'000};
// Some services fail one request in seven by themselves; an upstream is suspect
// well above that.
constexpr double kSuspectAbove = 0.3;
constexpr core::Duration kFirstAvoidance{400'000};
constexpr core::Duration kLongestAvoidance{4'000'000};
constexpr core::Duration kDeclinedPause{60'000};
constexpr uint32_t kMaxDoublings = 4;
constexpr double kLatencyWeight = 0.15;

}  // namespace

void UpstreamHealth::On(AttemptOutcome outcome, core::TimePoint now) {
  if (outcome == AttemptOutcome::kWithheld) {
    return;
  }
  const double failures = FailuresAt(now);
  m_failures_at = now;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      m_failures = failures * (1 - kOutcomeWeight);
      m_consecutive_failures = 0;
      return;
    case AttemptOutcome::kDeclined:
      // The upstream is temporarily at capacity, which is no sign of bad
      // health.
      m_failures = failures;
      AvoidFor(kDeclinedPause, now);
      return;
    case AttemptOutcome::kOwnFailure:
    case AttemptOutcome::kBroken:
      m_failures = failures + kOutcomeWeight * (1 - failures);
      return;
    case AttemptOutcome::kUnreachable:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kMisaddressed:
      m_failures = failures + kOutcomeWeight * (1 - failures);
      m_consecutive_failures =
          std::min(m_consecutive_failures + 1, kMaxDoublings);
      AvoidFor(std::min(kFirstAvoidance * (1U << (m_consecutive_failures - 1)),
                        kLongestAvoidance),
               now);
      return;
    case AttemptOutcome::kWithheld:
      return;
  }
}

void UpstreamHealth::OnFirstByte(core::Duration time, double cost) {
  const double latency_per_cost =
      static_cast<double>(time.count()) / std::max(cost, 1.0);
  m_latency_per_cost =
      m_latency_per_cost == 0
          ? latency_per_cost
          : m_latency_per_cost +
                (latency_per_cost - m_latency_per_cost) * kLatencyWeight;
}

void UpstreamHealth::Forgive() {
  m_failures = 0;
  m_consecutive_failures = 0;
  m_avoid_until = {};
}

Trust UpstreamHealth::trust(core::TimePoint now) const {
  if (now < m_avoid_until) {
    return Trust::kNone;
  }
  return FailuresAt(now) > kSuspectAbove ? Trust::kSuspect : Trust::kFull;
}

double UpstreamHealth::FailuresAt(core::TimePoint now) const {
  if (m_failures == 0) {
    return 0;
  }
  const double half_lives = static_cast<double>((now - m_failures_at).count()) /
                            static_cast<double>(kHalfLife.count());
  return m_failures * std::exp2(-half_lives);
}

void UpstreamHealth::AvoidFor(core::Duration span, core::TimePoint now) {
  m_avoid_until = std::max(m_avoid_until, now + span);
}

}  // namespace coppervalve::entry
