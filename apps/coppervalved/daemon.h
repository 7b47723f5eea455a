#ifndef COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_
#define COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_

#include "coppervalve/core/result.h"
#include "settings.h"

namespace coppervalve::daemon {

/// @brief Runs a router until a requested drain is complete.
/// @return kSettingBadValue when listening on a port fails
core::Status RunDaemon(const Settings& settings);

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_
