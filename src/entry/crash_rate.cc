#include "coppervalve/entry/crash_rate.h"

#include <algorithm>  // max
#include <chrono>     // duration
#include <cmath>      // ceil, exp, log

namespace coppervalve::entry {

namespace {

// Runs of this age count about a third.
constexpr double kMemorySeconds = 10;
// The estimate that a router without recent runs starts from.
constexpr double kAssumedCrashed = 1;
constexpr double kAssumedRuns = 20;
// Probability that a property which all of the crashed runs had by chance is
// taken for the cause.
constexpr double kErrorProbability = 1e-5;
// Fewer are no pattern, however rare crashes are.
constexpr double kMinCrashes = 3;

}  // namespace

void CrashRate::OnCompleted(core::TimePoint now) {
  Advance(now);
  m_completed += 1;
}

void CrashRate::OnCrashed(core::TimePoint now) {
  Advance(now);
  m_crashed += 1;
}

void CrashRate::Advance(core::TimePoint now) {
  const double age =
      std::chrono::duration<double>(std::max(now, m_advanced) - m_advanced)
          .count();
  const double remaining = std::exp(-age / kMemorySeconds);
  m_completed *= remaining;
  m_crashed *= remaining;
  m_advanced = std::max(now, m_advanced);
}

// Crashes that the property itself causes say nothing about the others.
size_t CrashRate::CrashesThatProve(size_t own_crashes) const {
  const double others =
      std::max(m_crashed - static_cast<double>(own_crashes), 0.0);
  const double rate =
      (others + kAssumedCrashed) / (others + m_completed + kAssumedRuns);
  const double needed = std::log(kErrorProbability) / std::log(rate);
  return static_cast<size_t>(std::ceil(std::max(needed, kMinCrashes)));
}

}  // namespace coppervalve::entry
