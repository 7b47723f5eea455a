#ifndef COPPERVALVE_STANDIN_RATE_LIMITER_H_
#define COPPERVALVE_STANDIN_RATE_LIMITER_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief Limits the number of events in each window of one second.
class RateLimiter {
 public:
  /// @param per_second 0 means no limit
  explicit RateLimiter(uint64_t per_second) : m_per_second(per_second) {}

  /// @brief Counts an event and returns true if it is within the limit.
  bool Admit(core::TimePoint now);

 private:
  uint64_t m_per_second;
  uint64_t m_in_window = 0;
  std::optional<core::TimePoint> m_window_start;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_RATE_LIMITER_H_
