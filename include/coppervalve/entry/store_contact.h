#ifndef COPPERVALVE_ENTRY_STORE_CONTACT_H_
#define COPPERVALVE_ENTRY_STORE_CONTACT_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Tracks whether this router reaches the durable store.
class StoreContact {
 public:
  /// @complexity constant, as all of this class
  void OnAnswer(core::TimePoint now);
  /// @param started_at start of the failed call
  void OnFailure(core::TimePoint started_at);

  /// @return whether the last completed call succeeded
  bool up() const { return m_up; }
  /// @return whether the store answered any call since then
  bool AnsweredSince(core::TimePoint time) const {
    return m_last_answer && *m_last_answer > time;
  }
  /// @return time since the last answer; the maximum duration before the first
  /// one
  core::Duration SilentFor(core::TimePoint now) const;
  /// @return since when the store has been reachable; nullopt while it is not
  std::optional<core::TimePoint> reachable_since() const;

 private:
  bool m_up = false;
  std::optional<core::TimePoint> m_last_answer;
  std::optional<core::TimePoint> m_reachable_since;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_STORE_CONTACT_H_
