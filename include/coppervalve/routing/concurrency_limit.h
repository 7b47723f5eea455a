#ifndef COPPERVALVE_ROUTING_CONCURRENCY_LIMIT_H_
#define COPPERVALVE_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>  // uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Constants of the additive-increase, multiplicative-decrease limit.
struct ConcurrencyLimitOptions {
  double initial = 4;
  double minimum = 2;
  double decrease_factor = 0.8;
  /// At most one decrease in this time: one overload is one signal.
  core::Duration decrease_interval{100'000};
  /// First-token latency above this multiple of the best seen is overload.
  double latency_tolerance = 4.0;
};

/// @brief How many attempts this router keeps in progress at one upstream,
/// adapted from declines, queue reports and latency, below a hard cap.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options, uint32_t hard_cap);

  /// @complexity constant, as all of this class
  void SetHardCap(uint32_t hard_cap);
  /// @brief An answer came back without a sign of overload.
  void OnSuccess(uint32_t in_progress);
  /// @brief The upstream declined, timed out or reports a standing queue.
  void OnOverload(core::TimePoint now);
  /// @brief Compares a first-token latency with the best seen.
  void OnLatency(core::Duration latency, core::TimePoint now);

  /// @return at least 1, at most the hard cap
  uint32_t value() const;
  uint32_t hard_cap() const { return m_hard_cap; }

 private:
  ConcurrencyLimitOptions m_options;
  uint32_t m_hard_cap;
  double m_limit;
  double m_best_latency_us = 0;
  bool m_decreased = false;
  core::TimePoint m_last_decrease{};
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_CONCURRENCY_LIMIT_H_
