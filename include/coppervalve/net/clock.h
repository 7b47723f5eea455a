#ifndef COPPERVALVE_NET_CLOCK_H_
#define COPPERVALVE_NET_CLOCK_H_

#include <string>  // string

#include "coppervalve/core/units.h"

namespace coppervalve::net {

/// @brief The decision clock of the daemon (CLOCK_BOOTTIME).
core::TimePoint BootNow();

/// @brief Names the boot whose clock BootNow() reads: another after each start
/// of the VM. @return empty when it can't be told
std::string BootId();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CLOCK_H_
