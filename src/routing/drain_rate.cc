#include "coppervalve/routing/drain_rate.h"

#include <algorithm>  // max, min

namespace coppervalve::routing {

namespace {

constexpr uint32_t kEnoughSamples = 8;
constexpr uint32_t kMemorySamples = 16;
/// A rate from a backlog that ended this long ago is forgotten.
constexpr core::Duration kForgetAfter{10'000'000};

}  // namespace

void DrainRate::OnServed(core::TimePoint now, bool backlogged) {
  if (!m_anchored && now - m_last > kForgetAfter) {
    m_samples = 0;
  }
  if (m_anchored) {
    m_samples = std::min(m_samples + 1, kMemorySamples);
    const double interval = static_cast<double>((now - m_last).count());
    m_mean_interval_us += (interval - m_mean_interval_us) / m_samples;
  }
  m_anchored = backlogged;
  m_last = now;
}

std::optional<core::Duration> DrainRate::TimeFor(double count,
                                                 core::TimePoint now) const {
  // The rate of last night's slow upstream would refuse the second of two gate
  // scans that come together in the morning, with every upstream idle.
  const bool forgotten = !m_anchored && now - m_last > kForgetAfter;
  if (forgotten || m_samples < kEnoughSamples) {
    return std::nullopt;
  }
  double interval = m_mean_interval_us;
  if (m_anchored) {
    const double silence = static_cast<double>((now - m_last).count());
    interval += std::max(0.0, silence - interval) / kMemorySamples;
  }
  return core::Duration(static_cast<int64_t>(interval * count));
}

}  // namespace coppervalve::routing
