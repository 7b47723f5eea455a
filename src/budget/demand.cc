#include "coppervalve/budget/demand.h"

#include <algorithm>  // max
#include <chrono>     // duration
#include <cmath>      // exp

namespace coppervalve::budget {

namespace {

/// Short enough to react to a burst within seconds, long enough that a single
/// large request does not multiply the holding.
constexpr double kTimeConstantSeconds = 5.0;
/// Request sizes from before a pause this long are no longer relevant.
constexpr core::Duration kLargestBoundExpiry{60'000'000};  // microseconds

double Decay(core::TimePoint from, core::TimePoint to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  return std::exp(-std::max(seconds, 0.0) / kTimeConstantSeconds);
}

}  // namespace

void Demand::Add(core::TimePoint now, core::Tokens tokens) {
  m_per_second = PerSecond(now) +
                 static_cast<double>(tokens.value()) / kTimeConstantSeconds;
  m_updated = std::max(m_updated, now);
}

void Demand::RecordBound(core::TimePoint now, core::Tokens bound) {
  if (now - m_last_request_at > kLargestBoundExpiry) {
    m_largest_bound = core::Tokens(0);
  }
  m_largest_bound = std::max(m_largest_bound, bound);
  m_last_request_at = std::max(m_last_request_at, now);
}

double Demand::PerSecond(core::TimePoint now) const {
  return m_per_second * Decay(m_updated, now);
}

}  // namespace coppervalve::budget
