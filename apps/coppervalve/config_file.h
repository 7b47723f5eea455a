#ifndef COPPERVALVE_APPS_COPPERVALVE_CONFIG_FILE_H_
#define COPPERVALVE_APPS_COPPERVALVE_CONFIG_FILE_H_

#include <string>   // string
#include <variant>  // variant

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"
#include "coppervalve/config.pb.h"

namespace coppervalve::cli {

/// @brief Reads and validates a configuration file.
/// @return the configuration, or the exit code after the errors were printed
std::variant<v1::Configuration, ExitCode> LoadConfig(const Session& session,
                                                     const std::string& file);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_CONFIG_FILE_H_
