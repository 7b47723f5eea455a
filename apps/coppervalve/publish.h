#ifndef COPPERVALVE_APPS_COPPERVALVE_PUBLISH_H_
#define COPPERVALVE_APPS_COPPERVALVE_PUBLISH_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <string>    // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

struct PublishArguments {
  std::string file;
  /// Version the change is based on; default: the version in force.
  std::optional<uint64_t> based_on;
  /// Seconds to wait until every live router has confirmed.
  std::optional<uint64_t> wait_s;
};

/// @brief Publishes a configuration by compare-and-set on the version.
ExitCode PublishConfig(const Session& session,
                       const PublishArguments& arguments);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_PUBLISH_H_
