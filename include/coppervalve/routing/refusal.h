#ifndef COPPERVALVE_ROUTING_REFUSAL_H_
#define COPPERVALVE_ROUTING_REFUSAL_H_

#include <optional>  // optional

#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief Typed refusal of a request that did not run, and when to retry it.
struct Refusal {
  core::Error error;
  std::optional<core::Duration> retry_after;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_REFUSAL_H_
