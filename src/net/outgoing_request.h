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

/// What leaves this process for a request: to an upstream or to a peer.
namespace coppervalve::net {

/// @brief A caller's request as far as its attempts need it.
struct CallerRequest {
  const HttpRequest& http;
  bool stream = false;
  bool wants_usage = false;
};

/// @param request_prefix put before the request's number in x-request-id
/// @return nothing when the body can't be rewritten
std::optional<AttemptPlan> PlanAttempt(const CallerRequest& request,
                                       const router::Dispatch& action,
                                       const ShellSettings& settings,
                                       const std::string& request_prefix);

/// @brief The head of a request as it goes to a peer, without its API key.
/// @param deadline the caller's, if it gave one
ForwardHead ForwardHeadOf(const HttpRequest& request,
                          const std::optional<core::TimePoint>& deadline,
                          const router::Forward& action);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_OUTGOING_REQUEST_H_
