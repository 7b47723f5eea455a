#ifndef COPPERVALVE_NET_REFUSAL_H_
#define COPPERVALVE_NET_REFUSAL_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"
#include "coppervalve/net/http_types.h"

namespace coppervalve::net {

/// @brief A typed failure as a caller gets it.
struct Refusal {
  core::Error error;
  core::RunState run_state = core::RunState::kNotRun;
  std::optional<core::Duration> retry_after;
};

/// @brief A refusal with the run state of the catalogue.
Refusal RefusalOf(core::Error error);

/// @brief Status and headers of the error answer.
HttpHead RefusalHead(const Refusal& refusal);

/// @brief The JSON document of the error answer.
std::string RefusalJson(const Refusal& refusal);

/// @brief The event that ends a stream whose answer could not be completed.
std::string RefusalEvent(const Refusal& refusal);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_REFUSAL_H_
