#ifndef COPPERVALVE_LOGCLIENT_BACKOFF_H_
#define COPPERVALVE_LOGCLIENT_BACKOFF_H_

#include <cstdint>     // uint32_t
#include <functional>  // function

#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief Returns a number in [0, 1): random in the daemon, fixed in tests.
using JitterHook = std::function<double()>;

/// @brief Options of an exponential backoff.
struct BackoffOptions {
  core::Duration first = std::chrono::milliseconds(100);
  core::Duration longest = std::chrono::seconds(2);
};

/// @brief Exponential backoff: the delay doubles with each failure.
class Backoff {
 public:
  Backoff(BackoffOptions options, JitterHook jitter);

  /// @brief Counts a failure and computes the delay before the next attempt.
  /// @return a delay between 50% and 100% of the doubled bound
  /// @complexity constant
  core::Duration NextDelay();

  /// @brief Resets the delay after a success.
  void Reset() { m_failures = 0; }

  /// @return failures since the last success
  uint32_t failures() const { return m_failures; }

 private:
  BackoffOptions m_options;
  JitterHook m_jitter;
  uint32_t m_failures = 0;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_LOGCLIENT_BACKOFF_H_
