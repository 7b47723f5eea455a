#ifndef COPPERVALVE_ENTRY_WRITE_PACING_H_
#define COPPERVALVE_ENTRY_WRITE_PACING_H_

#include <cstdint>  // uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Constants of WritePacing.
struct WritePacingOptions {
  core::Duration shortest_timeout{900'000};
  /// Must exceed the longest time that the store queues a write.
  core::Duration longest_timeout{3'000'000};
  core::Duration first_retry_delay{150'000};
  core::Duration longest_retry_delay{1'200'000};
  /// A writer that is not urgent pauses for this multiple of the time that its
  /// last write took.
  int pause_factor = 8;
};

/// @brief Decides how long a writer waits for a reply, when it repeats a failed
/// write and how long it pauses between writes.
///
/// The store processes the writes of all routers one at a time, and a write
/// that waits longer than its timeout is executed all the same. If hundreds of
/// routers start together, fixed timeouts and retries produce more writes than
/// the store can process, so its queue never shrinks. Timeouts, retry delays
/// and pauses that grow with the observed delay bound the queue for any number
/// of routers, without knowing that number.
class WritePacing {
 public:
  explicit WritePacing(WritePacingOptions options = {}) : m_options(options) {}

  /// @brief Sets the expected time until the reply of the first write.
  void Expect(core::Duration delay) { m_expected = delay; }
  /// @param took time from the call to the reply
  void OnWritten(core::Duration took);
  /// @param took time from the call to its failure
  /// @param store_silent whether the store answered no call at all meanwhile
  void OnFailure(core::Duration took, bool store_silent);

  /// @return time to wait for the reply of the next write
  core::Duration Timeout() const;
  /// @param jitter uniform in [0, 1)
  /// @return time until the failed write is repeated
  core::Duration RetryDelay(double jitter) const;
  /// @return minimum time between a reply and the next write
  core::Duration PauseAfterWrite(bool urgent) const;

 private:
  WritePacingOptions m_options;
  core::Duration m_last_took{};
  core::Duration m_expected{};  ///< time until the next reply
  uint32_t m_failures = 0;      ///< since the last reply
  uint32_t m_unanswered = 0;    ///< timeouts since the last reply
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_WRITE_PACING_H_
