#include "coppervalve/routing/concurrency_limit.h"

#include <algorithm>  // clamp, max, min

namespace coppervalve::routing {

namespace {

/// The best latency is raised by this factor per sample, so that one unusually
/// low sample from an idle period does not make all later ones count as
/// overload.
constexpr double kBestLatencyDrift = 1.002;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options,
                                   uint32_t hard_cap)
    : m_options(options),
      m_hard_cap(std::max(hard_cap, 1U)),
      m_limit(options.initial) {}

void ConcurrencyLimit::SetHardCap(uint32_t hard_cap) {
  m_hard_cap = std::max(hard_cap, 1U);
}

void ConcurrencyLimit::OnSuccess(uint32_t in_progress) {
  // A limit that was not reached is untested: raising it would admit a later
  // burst unchecked.
  if (in_progress + 1 < value()) {
    return;
  }
  // Until the first overload, the limit doubles with each round of answers. The
  // low initial limit prevents seven routers together from filling an engine
  // with long requests in its first second; doubling limits the cost of the low
  // start to about that second.
  const double step = m_decreased ? 1.0 / m_limit : 1.0;
  m_limit = std::min(m_limit + step, static_cast<double>(m_hard_cap));
}

void ConcurrencyLimit::OnOverload(core::TimePoint now) {
  if (m_decreased && now - m_last_decrease < m_options.decrease_interval) {
    return;
  }
  m_decreased = true;
  m_last_decrease = now;
  m_limit = std::min(m_limit, static_cast<double>(m_hard_cap));
  m_limit = std::max(m_limit * m_options.decrease_factor, m_options.minimum);
}

void ConcurrencyLimit::OnLatency(core::Duration latency, core::TimePoint now) {
  const double sample_us =
      std::max<double>(1, static_cast<double>(latency.count()));
  if (m_best_latency_us == 0 || sample_us < m_best_latency_us) {
    m_best_latency_us = sample_us;
    return;
  }
  m_best_latency_us *= kBestLatencyDrift;
  if (sample_us > m_best_latency_us * m_options.latency_tolerance) {
    OnOverload(now);
  }
}

uint32_t ConcurrencyLimit::value() const {
  const double bounded = std::min(m_limit, static_cast<double>(m_hard_cap));
  return static_cast<uint32_t>(std::max(bounded, 1.0));
}

}  // namespace coppervalve::routing
