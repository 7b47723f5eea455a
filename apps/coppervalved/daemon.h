#ifndef COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_
#define COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_

#include "coppervalve/core/result.h"
#include "settings.h"

namespace coppervalve::daemon {

/// @brief Runs a router until it was asked to drain and did.
/// @return kSettingBadValue when a port can't be listened on
core::Status RunDaemon(const Settings& settings);

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_DAEMON_H_
