#ifndef COPPERVALVE_SRC_NET_CALLER_ROUTES_H_
#define COPPERVALVE_SRC_NET_CALLER_ROUTES_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <variant>      // variant

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/net/http_types.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief A parsed request of the caller port.
struct CallerRoute {
  using Event = std::variant<router::RequestArrived,
                             router::AddressesRequested,
                             router::StatusRequested>;
  Event event;
  bool wants_usage = false;  ///< the caller requested the usage event
};

/// @brief Parses a request of a caller.
/// @param account set when a peer router forwarded it
/// @return kNotFound, kMethodNotAllowed, kMalformedJson or kBadRequest
core::Result<CallerRoute> RouteCaller(
    const HttpRequest& request,
    core::RequestId id,
    core::TimePoint now,
    const std::optional<core::AccountId>& account);

/// @brief The request target at a plain service: the part after its name. @pre
/// the target was routed to a service
std::string ServiceTarget(std::string_view target);

/// @return the token of "Authorization: Bearer <token>"; empty when not given
std::string_view BearerToken(const HeaderList& headers);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_CALLER_ROUTES_H_
