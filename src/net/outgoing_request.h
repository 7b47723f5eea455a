#ifndef COPPERVALVE_SRC_NET_OUTGOING_REQUEST_H_
#define COPPERVALVE_SRC_NET_OUTGOING_REQUEST_H_

#include <optional>  // optional
#include <string>    // string

#include "coppervalve/core/units.h"
#include "coppervalve/net/http_types.h"
#include "coppervalve/net/peer_types.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"
#include "upstream_attempt.h"

/// Builds the requests that are sent to upstreams and peers.
namespace coppervalve::net {

/// @brief The parts of a caller's request that its attempts use.
struct CallerRequest {
  const HttpRequest& http;
  bool stream = false;
  bool wants_usage = false;
};

/// @param request_prefix prefix of the request's number in x-request-id
/// @return empty when the body cannot be rewritten
std::optional<AttemptPlan> PlanAttempt(const CallerRequest& request,
                                       const router::Dispatch& action,
                                       const ShellSettings& settings,
                                       const std::string& request_prefix);

/// @brief The head of a request for a peer, without its API key.
/// @param deadline the deadline of the caller, if it set one
ForwardHead ForwardHeadOf(const HttpRequest& request,
                          const std::optional<core::TimePoint>& deadline,
                          const router::Forward& action);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_OUTGOING_REQUEST_H_
