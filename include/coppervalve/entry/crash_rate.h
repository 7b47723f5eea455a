#ifndef COPPERVALVE_ENTRY_CRASH_RATE_H_
#define COPPERVALVE_ENTRY_CRASH_RATE_H_

#include <cstddef>  // size_t

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Estimates how likely a run is to end because its upstream crashes,
/// whatever the request holds, from the recent runs of this router.
class CrashRate {
 public:
  void OnCompleted(core::TimePoint now);
  void OnCrashed(core::TimePoint now);
  /// @brief Lets older runs count less.
  void Advance(core::TimePoint now);

  /// @return number of crashes in a row that runs with one property have by
  /// chance so rarely that the property is their cause
  /// @param own_crashes those among the recent ones that had the property
  size_t CrashesThatProve(size_t own_crashes) const;

 private:
  double m_completed = 0;
  double m_crashed = 0;
  core::TimePoint m_advanced{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CRASH_RATE_H_
