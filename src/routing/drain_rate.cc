#include "coppervalve/routing/drain_rate.h"

#include <algorithm>  // max, min

namespace coppervalve::routing {

namespace {

constexpr uint32_t kMinSamples = 8;
constexpr uint32_t kAveragedSamples = 16;
/// A rate measured in a backlog that ended longer ago than this is not used.
constexpr core::Duration kRateLifetime{10'000'000};

}  // namespace

void DrainRate::OnServed(core::TimePoint now, bool backlogged) {
  if (!m_backlogged && now - m_last > kRateLifetime) {
    m_samples = 0;
  }
  if (m_backlogged) {
    m_samples = std::min(m_samples + 1, kAveragedSamples);
    const double interval = static_cast<double>((now - m_last).count());
    m_mean_interval_us += (interval - m_mean_interval_us) / m_samples;
  }
  m_backlogged = backlogged;
  m_last = now;
}

std::optional<core::Duration> DrainRate::TimeFor(double count,
                                                 core::TimePoint now) const {
  // An outdated rate must not refuse work: the rate of an upstream that was
  // slow at night would refuse the second of two simultaneous GATE requests in
  // the morning, although all upstreams are idle.
  const bool expired = !m_backlogged && now - m_last > kRateLifetime;
  if (expired || m_samples < kMinSamples) {
    return std::nullopt;
  }
  double interval = m_mean_interval_us;
  if (m_backlogged) {
    const double elapsed = static_cast<double>((now - m_last).count());
    interval += std::max(0.0, elapsed - interval) / kAveragedSamples;
  }
  return core::Duration(static_cast<int64_t>(interval * count));
}

}  // namespace coppervalve::routing
