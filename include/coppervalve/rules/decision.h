#ifndef COPPERVALVE_RULES_DECISION_H_
#define COPPERVALVE_RULES_DECISION_H_

#include <cstdint>   // uint32_t
#include <optional>  // optional
#include <string>    // string
#include <variant>   // variant

#include "coppervalve/config.pb.h"
#include "coppervalve/config/tables.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::rules {

/// @brief The request may run with these parameters. All defaults are applied.
struct Route {
  core::RuleId rule;
  /// Upstreams that serve the request's model or service, in the rule's order
  /// (the file's order when the rule lists none). Never null, may be empty.
  config::SharedUpstreamIds candidates;
  v1::AdmissionClass admission_class = v1::ADMISSION_CLASS_UNSPECIFIED;
  bool non_idempotent = false;
  core::Tokens max_output_tokens;  ///< cap
  core::Duration max_queue{};
  uint32_t max_attempts = 0;
};

/// @brief A rule refuses the request.
struct Refused {
  core::RuleId rule;
  std::string reason;
  std::optional<core::Duration> retry_after;
};

/// @brief No rule matches: the request is refused.
struct NoMatch {};

using Decision = std::variant<Route, Refused, NoMatch>;

}  // namespace coppervalve::rules

#endif  // COPPERVALVE_RULES_DECISION_H_
