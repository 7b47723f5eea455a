#ifndef COPPERVALVE_SRC_NET_OPERATOR_ROUTES_H_
#define COPPERVALVE_SRC_NET_OPERATOR_ROUTES_H_

#include <functional>  // function
#include <string>      // string

#include "coppervalve/net/caller_server.h"
#include "coppervalve/net/http_types.h"
#include "traffic_worker.h"

namespace coppervalve::net {

/// @brief Credentials and actions of the operator port.
struct OperatorContext {
  std::string token;  ///< empty: /admin rejects all requests
  std::function<void()> drain;
  std::function<std::string()> metrics_text;  ///< may be empty
};

/// @brief Answers a request on the operator port.
Exchange RouteOperator(const OperatorContext& context,
                       TrafficWorker& worker,
                       const HttpRequest& request);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_OPERATOR_ROUTES_H_
