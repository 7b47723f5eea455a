#ifndef COPPERVALVE_ENTRY_STORE_CONTACT_H_
#define COPPERVALVE_ENTRY_STORE_CONTACT_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What this router knows of its contact with the durable store.
class StoreContact {
 public:
  /// @complexity constant, as all of this class
  void OnAnswer(core::TimePoint now);
  /// @param began when the call was made
  void OnFailure(core::TimePoint began);

  /// @return whether the last call that ended was answered
  bool up() const { return m_up; }
  /// @return time since the last answer; the longest duration before any
  core::Duration SilentFor(core::TimePoint now) const;
  /// @return since when there has been no failure; none while there is one
  std::optional<core::TimePoint> regained() const;

 private:
  bool m_up = false;
  std::optional<core::TimePoint> m_last_answer;
  std::optional<core::TimePoint> m_regained;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_STORE_CONTACT_H_
