#ifndef COPPERVALVE_TOOLS_LOAD_CLOCK_H_
#define COPPERVALVE_TOOLS_LOAD_CLOCK_H_

#include <chrono>  // steady_clock

namespace coppervalve::load {

using Clock = std::chrono::steady_clock;

/// @return milliseconds between two times
inline double MillisBetween(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_CLOCK_H_
