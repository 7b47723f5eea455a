#ifndef COPPERVALVE_TOOLS_LOAD_PAUSE_H_
#define COPPERVALVE_TOOLS_LOAD_PAUSE_H_

#include <boost/asio/awaitable.hpp>

#include "tools/load/clock.h"

namespace coppervalve::load {

/// @brief Suspends the coroutine until the given time.
boost::asio::awaitable<void> PauseUntil(Clock::time_point time);

/// @brief Suspends the coroutine for the given duration.
boost::asio::awaitable<void> PauseFor(Clock::duration time);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_PAUSE_H_
