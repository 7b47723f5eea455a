#ifndef COPPERVALVE_ENTRY_RETRY_BUDGET_SHARE_H_
#define COPPERVALVE_ENTRY_RETRY_BUDGET_SHARE_H_

#include <cstdint>        // uint32_t
#include <deque>          // deque
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The bound on retries to one service, shared by all routers.
struct RetryBounds {
  double ratio = 0.2;  ///< retries per request for the service
  double slack = 10;   ///< additional retries, of all routers together
  core::Duration window{10'000'000};
};

/// @brief This router's share of the retry bound.
///
/// The share needs no communication: the ratio applies to this router's own
/// requests, and the slack is divided by the number of routers. The sum over
/// all routers therefore keeps the bound in every window, also while they can't
/// reach each other.
class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(RetryBounds bounds) : m_bounds(bounds) {}

  /// @brief Counts a request for the service. @complexity amortized O(1)
  void OnRequest(const core::ServiceId& service, core::TimePoint now);
  /// @brief Takes one retry from the share.
  /// @param routers that may send to the service, including this one
  /// @return false if the share is used up
  bool Take(const core::ServiceId& service,
            uint32_t routers,
            core::TimePoint now);

 private:
  struct Window {
    std::deque<core::TimePoint> requests;
    std::deque<core::TimePoint> retries;
  };
  Window& Current(const core::ServiceId& service, core::TimePoint now);

  RetryBounds m_bounds;
  std::unordered_map<core::ServiceId, Window> m_windows;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RETRY_BUDGET_SHARE_H_
