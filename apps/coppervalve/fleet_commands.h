#ifndef COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_
#define COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_

#include <string>  // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Asks each router for its own state.
ExitCode ShowStatus(const Session& session);

/// @brief Lists the routers that the log knows.
ExitCode ListRouters(const Session& session);

/// @brief Asks the routers what became of a request.
ExitCode ShowRequest(const Session& session,
                     const std::string& key,
                     const std::string& account);

/// @brief Tells a router to finish its work and leave.
/// @param router its id, or "ip:port" of its operator endpoint
ExitCode Drain(const Session& session, const std::string& router);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_FLEET_COMMANDS_H_
