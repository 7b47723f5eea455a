#ifndef COPPERVALVE_APPS_COPPERVALVE_ROUTER_CLIENT_H_
#define COPPERVALVE_APPS_COPPERVALVE_ROUTER_CLIENT_H_

#include <boost/json/object.hpp>
#include <string>  // string

#include "apps/coppervalve/http_client.h"
#include "apps/coppervalve/session.h"
#include "coppervalve/core/result.h"

namespace coppervalve::cli {

/// @brief Calls a router's operator endpoint with the operator's token.
/// @error kOperatorUnreachable; kPeerProtocol for a status other than 2xx
core::Result<HttpReply> CallRouter(const Session& session,
                                   HttpMethod method,
                                   const std::string& address,
                                   const std::string& target);

/// @brief Gets a JSON object from a router's operator endpoint.
/// @error as CallRouter; kPeerProtocol also when the body is not a JSON object
core::Result<boost::json::object> GetObject(const Session& session,
                                            const std::string& address,
                                            const std::string& target);

/// @return a member of any type as text, "-" when it is absent (the JSON
/// mapping omits default values)
std::string MemberText(const boost::json::object& document, const char* name);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_ROUTER_CLIENT_H_
