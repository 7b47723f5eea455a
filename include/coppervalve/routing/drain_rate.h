#ifndef COPPERVALVE_ROUTING_DRAIN_RATE_H_
#define COPPERVALVE_ROUTING_DRAIN_RATE_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Rate at which a queue is served, measured only while it is
/// backlogged: an idle queue's rate is the arrivals', not the capacity's.
class DrainRate {
 public:
  /// @complexity constant, as all of this class
  void OnServed(core::TimePoint now, bool backlogged);
  /// @brief Time to serve `count` entries, or none when not measured yet. A
  /// pause since the last service counts against the rate while a backlog
  /// waits; a while after it ended the rate is forgotten.
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
