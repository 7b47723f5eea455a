#ifndef COPPERVALVE_NET_CLOCK_H_
#define COPPERVALVE_NET_CLOCK_H_

#include "coppervalve/core/units.h"

namespace coppervalve::net {

/// @brief The decision clock of the daemon (CLOCK_BOOTTIME).
core::TimePoint BootNow();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CLOCK_H_
