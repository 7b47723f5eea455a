#ifndef COPPERVALVE_TRIAL_TIMELINE_H_
#define COPPERVALVE_TRIAL_TIMELINE_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <map>         // map
#include <utility>     // pair

#include "coppervalve/core/units.h"

namespace coppervalve::trial {

/// @brief Virtual clock that runs scheduled actions in order of time, then of
/// scheduling. Nothing else advances it.
class Timeline {
 public:
  core::TimePoint now() const { return m_now; }
  /// @param delay from now on; not negative
  void After(core::Duration delay, std::function<void()> action);
  /// @brief Runs all actions that are due up to and including `end`.
  void RunUntil(core::TimePoint end);

 private:
  core::TimePoint m_now{std::chrono::seconds(1000)};
  uint64_t m_last = 0;
  std::map<std::pair<core::TimePoint, uint64_t>, std::function<void()>>
      m_actions;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_TIMELINE_H_
