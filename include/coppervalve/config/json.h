#ifndef COPPERVALVE_CONFIG_JSON_H_
#define COPPERVALVE_CONFIG_JSON_H_

#include <string>  // string

#include "coppervalve/config.pb.h"

namespace coppervalve::config {

/// @brief The canonical JSON of a configuration: schema names and order,
/// defaults left out. ParseOperatorsFile reads it back to an equal message.
/// @complexity linear in the configuration
std::string ToJson(const v1::Configuration& configuration);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_JSON_H_
