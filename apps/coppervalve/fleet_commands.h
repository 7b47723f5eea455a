#ifndef COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_
#define COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_

#include <string>  // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Queries the status of each router.
ExitCode ShowStatus(const Session& session);

/// @brief Lists the routers recorded in the log.
ExitCode ListRouters(const Session& session);

/// @brief Queries the routers for the outcome of a request.
ExitCode ShowRequest(const Session& session,
                     const std::string& key,
                     const std::string& account);

/// @brief Requests a drain: the router finishes its work and leaves the fleet.
/// @param router its id, or "ip:port" of its operator endpoint
ExitCode Drain(const Session& session, const std::string& router);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_
