#ifndef COPPERVALVE_ROUTING_DRAIN_RATE_H_
#define COPPERVALVE_ROUTING_DRAIN_RATE_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Rate at which a queue is served. Measured only while the queue is
/// backlogged, because the rate of an idle queue is the arrival rate and not
/// the capacity.
class DrainRate {
 public:
  /// @complexity constant, as for all functions of this class
  void OnServed(core::TimePoint now, bool backlogged);
  /// @brief Estimates the time to serve `count` entries; none without a valid
  /// measurement. While a backlog waits, time without a service lowers the
  /// rate. The rate expires some time after the backlog has ended.
  std::optional<core::Duration> TimeFor(double count,
                                        core::TimePoint now) const;

 private:
  bool m_backlogged = false;
  uint32_t m_samples = 0;
  double m_mean_interval_us = 0;
  core::TimePoint m_last{};
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_DRAIN_RATE_H_
