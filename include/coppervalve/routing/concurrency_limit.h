#ifndef COPPERVALVE_ROUTING_CONCURRENCY_LIMIT_H_
#define COPPERVALVE_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>  // uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Options of the additive-increase, multiplicative-decrease limit.
struct ConcurrencyLimitOptions {
  double initial = 4;
  double minimum = 2;
  double decrease_factor = 0.8;
  /// At most one decrease per interval, so that one overload counts once.
  core::Duration decrease_interval{100'000};
  /// A first-token latency above this multiple of the best observed one counts
  /// as overload.
  double latency_tolerance = 4.0;
};

/// @brief Limit on the attempts that this router has in progress at one
/// upstream. Adapts to declines, reported queues and latency, up to a hard cap.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options, uint32_t hard_cap);

  /// @complexity constant, as for all functions of this class
  void SetHardCap(uint32_t hard_cap);
  /// @brief Records an answer without a sign of overload.
  void OnSuccess(uint32_t in_progress);
  /// @brief Records that the upstream declined, timed out or reported a
  /// standing queue.
  void OnOverload(core::TimePoint now);
  /// @brief Compares a first-token latency with the best observed one.
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
