#ifndef COPPERVALVE_LOGCLIENT_BACKOFF_H_
#define COPPERVALVE_LOGCLIENT_BACKOFF_H_

#include <cstdint>     // uint32_t
#include <functional>  // function

#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief Gives a number in [0, 1): random in the daemon, fixed in tests.
using JitterHook = std::function<double()>;

/// @brief Bounds of an exponential backoff.
struct BackoffOptions {
  core::Duration first = std::chrono::milliseconds(100);
  core::Duration longest = std::chrono::seconds(2);
};

/// @brief Delay before the next attempt: doubles with each failure.
class Backoff {
 public:
  Backoff(BackoffOptions options, JitterHook jitter);

  /// @brief Counts a failure.
  /// @return the delay, between half and all of the doubled bound
  /// @complexity constant
  core::Duration NextDelay();

  /// @brief Starts over after a success.
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
