#ifndef COPPERVALVE_BUDGET_DEMAND_H_
#define COPPERVALVE_BUDGET_DEMAND_H_

#include "coppervalve/core/units.h"

namespace coppervalve::budget {

/// @brief Tokens per second that one budget is spent at here, as an
/// exponentially weighted moving average; also the largest recent request.
class Demand {
 public:
  /// @brief Counts tokens that were spent.
  void Add(core::TimePoint now, core::Tokens tokens);
  /// @brief Remembers the bound of a request that requested for a reservation.
  void RecordBound(core::TimePoint now, core::Tokens bound);

  /// @return tokens per second, decayed to `now`
  double PerSecond(core::TimePoint now) const;
  /// @return the largest bound seen since demand was last absent for long
  core::Tokens LargestBound() const { return m_largest_bound; }
  /// @return when a request last requested for a reservation
  core::TimePoint LastRequestAt() const { return m_last_request_at; }

 private:
  double m_per_second = 0.0;
  core::TimePoint m_updated{};
  core::Tokens m_largest_bound{};
  core::TimePoint m_last_request_at{};
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_DEMAND_H_
