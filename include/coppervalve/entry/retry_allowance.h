#ifndef COPPERVALVE_ENTRY_RETRY_ALLOWANCE_H_
#define COPPERVALVE_ENTRY_RETRY_ALLOWANCE_H_

#include <cstdint>        // uint32_t
#include <deque>          // deque
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The fleet's shared bound on repeated sends to one service.
struct RetryBounds {
  double ratio = 0.2;  ///< of the requests for the service
  double slack = 10;   ///< beyond that, from all routers together
  core::Duration window{10'000'000};
};

/// @brief This router's share of the bound.
///
/// The share needs no talk: the ratio holds on this router's own requests, and
/// the slack is divided by the routers. So the sum over all routers keeps the
/// bound in every window, also while they cannot reach each other.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryBounds bounds) : m_bounds(bounds) {}

  /// @brief A request for the service came. @complexity amortized O(1)
  void OnRequest(const core::ServiceId& service, core::TimePoint now);
  /// @brief Takes the right to send once more.
  /// @param routers that may send to the service, this one included
  /// @return false when the share is used up
  bool Take(const core::ServiceId& service,
            uint32_t routers,
            core::TimePoint now);

 private:
  struct Window {
    std::deque<core::TimePoint> requests;
    std::deque<core::TimePoint> repeats;
  };
  Window& Current(const core::ServiceId& service, core::TimePoint now);

  RetryBounds m_bounds;
  std::unordered_map<core::ServiceId, Window> m_windows;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RETRY_ALLOWANCE_H_
