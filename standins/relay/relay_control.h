#ifndef COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_
#define COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_

#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/tcp_relay.h"

namespace coppervalve::standin {

/// @brief Handles a request to the control port: /<mode name> sets the mode,
/// /stats returns the counters. Any method is accepted.
void ControlRelay(TcpRelay& relay,
                  const HttpRequest& request,
                  HttpExchange exchange);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_
