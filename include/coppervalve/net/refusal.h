#ifndef COPPERVALVE_NET_REFUSAL_H_
#define COPPERVALVE_NET_REFUSAL_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"
#include "coppervalve/net/http_types.h"

namespace coppervalve::net {

/// @brief An error as it is reported to a caller.
struct Refusal {
  core::Error error;
  core::RunState run_state = core::RunState::kNotRun;
  std::optional<core::Duration> retry_after;
};

/// @brief Creates a refusal with the run state that the error catalogue gives.
Refusal RefusalOf(core::Error error);

/// @brief Status and headers of the error answer.
HttpHead RefusalHead(const Refusal& refusal);

/// @brief The JSON document of the error answer.
std::string RefusalJson(const Refusal& refusal);

/// @brief The error event that ends a stream whose answer is incomplete.
std::string RefusalEvent(const Refusal& refusal);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_REFUSAL_H_
