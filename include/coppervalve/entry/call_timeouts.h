#ifndef COPPERVALVE_ENTRY_CALL_TIMEOUTS_H_
#define COPPERVALVE_ENTRY_CALL_TIMEOUTS_H_

#include <algorithm>  // min
#include <optional>   // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Progress of a call.
struct CallProgress {
  core::TimePoint started_at;
  bool connected = false;
  /// Time of the last received bytes; nullopt before the first ones.
  std::optional<core::TimePoint> last_received;
};

/// @brief Timeouts of a call to another process.
struct CallTimeouts {
  /// Timeout of a new connection. Connecting takes milliseconds within a
  /// region, and a lost SYN packet is retransmitted only after seconds, so a
  /// new attempt is faster.
  core::Duration connect{400'000};
  /// Time until the first byte of the answer. An unreachable process is
  /// detected after this time.
  core::Duration first_byte{1'000'000};
  /// Maximum time between two parts of an answer.
  core::Duration idle{800'000};
  /// Time for the whole answer, which bounds slow answers.
  core::Duration total{6'000'000};

  /// @return when the call times out unless it makes progress before
  core::TimePoint TimesOutAt(const CallProgress& progress) const {
    if (!progress.connected) {
      return progress.started_at + connect;
    }
    if (!progress.last_received) {
      return progress.started_at + std::min(first_byte, total);
    }
    return std::min(*progress.last_received + idle,
                    progress.started_at + total);
  }
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CALL_TIMEOUTS_H_
