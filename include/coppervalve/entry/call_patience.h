#ifndef COPPERVALVE_ENTRY_CALL_PATIENCE_H_
#define COPPERVALVE_ENTRY_CALL_PATIENCE_H_

#include <algorithm>  // min
#include <optional>   // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How far a call has come.
struct CallProgress {
  core::TimePoint began;
  bool connected = false;
  /// When bytes of the answer came last; none before any.
  std::optional<core::TimePoint> last_part;
};

/// @brief How long the caller of another program waits for its answer.
struct CallPatience {
  /// For a new connection. Within a region it takes milliseconds; a packet that
  /// opens one is sent again only after seconds, so another try is sooner.
  core::Duration connect{400'000};
  /// Until the first byte of the answer: a program that can't be reached sends
  /// none, and this is how soon that is known.
  core::Duration first{1'000'000};
  /// Between two parts of an answer that has begun.
  core::Duration stall{800'000};
  /// For all of it, so that an answer in drops ends.
  core::Duration whole{6'000'000};

  /// @return when the call is given up, unless it comes further before
  core::TimePoint GiveUpAt(const CallProgress& progress) const {
    if (!progress.connected) {
      return progress.began + connect;
    }
    if (!progress.last_part) {
      return progress.began + std::min(first, whole);
    }
    return std::min(*progress.last_part + stall, progress.began + whole);
  }
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CALL_PATIENCE_H_
