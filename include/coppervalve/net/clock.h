#ifndef COPPERVALVE_NET_CLOCK_H_
#define COPPERVALVE_NET_CLOCK_H_

#include <string>  // string

#include "coppervalve/core/units.h"

namespace coppervalve::net {

/// @brief The decision clock of the daemon (CLOCK_BOOTTIME).
core::TimePoint BootNow();

/// @brief Identifies the boot that BootNow() counts from; changes with each
/// start of the VM. @return empty when it cannot be read
std::string BootId();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CLOCK_H_
