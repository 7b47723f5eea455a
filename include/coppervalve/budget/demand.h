#ifndef COPPERVALVE_BUDGET_DEMAND_H_
#define COPPERVALVE_BUDGET_DEMAND_H_

#include "coppervalve/core/units.h"

namespace coppervalve::budget {

/// @brief Rate at which one budget is spent at this router, in tokens per
/// second as an exponentially weighted moving average, and the largest recent
/// request.
class Demand {
 public:
  /// @brief Counts tokens that were spent.
  void Add(core::TimePoint now, core::Tokens tokens);
  /// @brief Records the upper bound of a reservation request.
  void RecordBound(core::TimePoint now, core::Tokens bound);

  /// @return tokens per second, decayed to `now`
  double PerSecond(core::TimePoint now) const;
  /// @return the largest bound since the last long pause between requests
  core::Tokens LargestBound() const { return m_largest_bound; }
  /// @return the time of the last reservation request
  core::TimePoint LastRequestAt() const { return m_last_request_at; }

 private:
  double m_per_second = 0.0;
  core::TimePoint m_updated{};
  core::Tokens m_largest_bound{};
  core::TimePoint m_last_request_at{};
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_DEMAND_H_
