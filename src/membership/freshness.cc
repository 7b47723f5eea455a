#include "coppervalve/membership/freshness.h"

#include <algorithm>  // any_of

namespace coppervalve::membership {

namespace {

/// Share of a sample of contacts that must be reachable. A router in a minority
/// often finds a bare majority of a sample reachable.
constexpr size_t kSampleNumerator = 7;
constexpr size_t kSampleDenominator = 8;

bool ReachesMajority(const FreshnessInputs& inputs) {
  size_t counted = 0;
  size_t reachable = 0;
  for (const PeerLogReport& peer : inputs.log_reports) {
    if (!peer.counts) {
      continue;
    }
    ++counted;
    reachable += peer.reachable ? 1U : 0U;
  }
  if (inputs.sampled) {
    return reachable * kSampleDenominator >= counted * kSampleNumerator;
  }
  const size_t self = inputs.self_votes ? 1 : 0;
  return (reachable + self) * 2 > inputs.voters;
}

}  // namespace

Freshness::Freshness(core::Duration bound) : m_bound(bound) {}

void Freshness::OnReadToEnd(core::TimePoint issued) {
  // A process that was paused may handle a reply from its socket an hour late,
  // and would then work under a configuration that was replaced. The reply
  // shows the end of the log no earlier than the read was issued, so only that
  // time counts.
  if (!m_read_to_end || *m_read_to_end < issued) {
    m_read_to_end = issued;
  }
}

FreshnessVerdict Freshness::Evaluate(core::TimePoint now,
                                     const FreshnessInputs& inputs) {
  const auto decision = Decide(now, inputs);
  if (const auto* basis = std::get_if<FreshBasis>(&decision)) {
    m_stale_since.reset();
    return Fresh{*basis};
  }
  if (!m_stale_since) {
    m_stale_since = now;
  }
  return Stale{*m_stale_since, *std::get_if<StaleReason>(&decision)};
}

bool Freshness::ReadRecently(core::TimePoint now) const {
  return IsRecent(now, m_read_to_end);
}

std::optional<core::Duration> Freshness::LogAge(core::TimePoint now) const {
  if (!m_read_to_end) {
    return std::nullopt;
  }
  return now - *m_read_to_end;
}

std::variant<FreshBasis, StaleReason> Freshness::Decide(
    core::TimePoint now,
    const FreshnessInputs& inputs) const {
  if (!m_read_to_end) {
    return StaleReason::kNeverRead;
  }
  if (IsRecent(now, m_read_to_end)) {
    return FreshBasis::kOwnReading;
  }
  const auto any = [&inputs](auto predicate) {
    return std::any_of(inputs.log_reports.begin(), inputs.log_reports.end(),
                       predicate);
  };
  if (any([&](const PeerLogReport& peer) {
        return peer.config_version > inputs.config_version;
      })) {
    return StaleReason::kNewerVersion;
  }
  if (any([&](const PeerLogReport& peer) {
        return IsRecent(now, peer.read_to_end) &&
               peer.config_version == inputs.config_version;
      })) {
    return FreshBasis::kConfirmedByPeer;
  }
  // A peer reads the log, so the log is available. Routers that cannot read it
  // have no evidence of which configuration is in force.
  if (any([&](const PeerLogReport& peer) {
        return IsRecent(now, peer.claimed_read_to_end);
      })) {
    return StaleReason::kNotConfirmed;
  }
  // Voters outside this group may accept a proposal that some inside have read,
  // and this group would continue under the previous version. A majority
  // accepted it, so any other majority contains at least one voter that has
  // read it; one such voter is enough to make the whole group stale.
  if (inputs.known_version > inputs.config_version ||
      any([&](const PeerLogReport& peer) {
        return peer.known_version > inputs.config_version;
      })) {
    return StaleReason::kNewerVersion;
  }
  if (!ReachesMajority(inputs)) {
    return StaleReason::kMinority;
  }
  return FreshBasis::kLogUnavailable;
}

bool Freshness::IsRecent(core::TimePoint now,
                         std::optional<core::TimePoint> read) const {
  return read && now - *read <= m_bound;
}

}  // namespace coppervalve::membership
