#ifndef COPPERVALVE_ROUTING_RETRY_BUDGET_H_
#define COPPERVALVE_ROUTING_RETRY_BUDGET_H_

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Options of a retry budget.
struct RetryBudgetOptions {
  double ratio = 0.1;     ///< retries earned per request
  double per_second = 1;  ///< retries earned per second without any request
  double capacity = 10;   ///< maximum retries that accumulate
};

/// @brief Token bucket for retries: first attempts earn tokens, retries spend
/// them.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : m_options(options), m_tokens(options.capacity) {}

  /// @complexity constant, as for all functions of this class
  void OnRequest();
  bool CanSpend(core::TimePoint now);
  /// @pre CanSpend(now)
  void Spend();

 private:
  void Advance(core::TimePoint now);

  RetryBudgetOptions m_options;
  double m_tokens;
  bool m_started = false;
  core::TimePoint m_last{};
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_RETRY_BUDGET_H_
