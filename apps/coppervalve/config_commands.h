#ifndef COPPERVALVE_APPS_COPPERVALVE_CONFIG_COMMANDS_H_
#define COPPERVALVE_APPS_COPPERVALVE_CONFIG_COMMANDS_H_

#include <string>  // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Validates a file without reading the log.
ExitCode CheckConfig(const Session& session, const std::string& file);

/// @brief Prints the configuration in force.
ExitCode ShowConfig(const Session& session);

/// @brief Prints the differences between a file and the configuration in force.
ExitCode DiffConfig(const Session& session, const std::string& file);

/// @brief Lists the publications in the retained part of the log.
ExitCode ShowHistory(const Session& session);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_CONFIG_COMMANDS_H_
