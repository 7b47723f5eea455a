#ifndef COPPERVALVE_ENTRY_DEMAND_H_
#define COPPERVALVE_ENTRY_DEMAND_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Rate of requested tokens per second: the larger of two exponential
/// moving averages, so that it follows an increase at once and a decrease
/// slowly.
class Demand {
 public:
  /// @complexity constant, as all of this class
  void Add(core::Tokens tokens, core::TimePoint now);
  /// @return the estimated rate
  double PerSecond(core::TimePoint now) const;

 private:
  struct Average {
    double per_second = 0;
    double DecayedBy(double seconds_later, double time_constant) const;
  };
  double CorrectBias(double average,
                     double time_constant,
                     core::TimePoint now) const;
  Average m_fast;
  Average m_slow;
  std::optional<core::TimePoint> m_first_added;
  core::TimePoint m_updated{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_DEMAND_H_
