#ifndef COPPERVALVE_ENTRY_FALLBACK_READING_H_
#define COPPERVALVE_ENTRY_FALLBACK_READING_H_

#include <functional>  // function
#include <optional>    // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Decides whether a standby reads the heartbeats of a large fleet
/// itself, because no active router tells it who is active.
///
/// The active routers fall silent for all standbys at once, also when only the
/// store is slow. If each of a thousand standbys then read the heartbeats of
/// all others, the store would stay slow, and the active routers silent. So
/// they start at spread times, and most of them have an answer before.
class FallbackReading {
 public:
  /// @param delay random time before this router starts to read
  explicit FallbackReading(std::function<core::Duration()> delay);

  /// @param view_lost no active router has answered for some time
  /// @return whether this router reads now
  /// @complexity constant
  bool Advance(bool view_lost, bool store_answers, core::TimePoint now);

 private:
  std::function<core::Duration()> m_delay;
  std::optional<core::TimePoint> m_reads_from;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_FALLBACK_READING_H_
