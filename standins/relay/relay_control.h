#ifndef COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_
#define COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_

#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/tcp_relay.h"

namespace coppervalve::standin {

/// @brief Serves the control port: /<mode name> switches, /stats reports; any
/// method will do.
void ControlRelay(TcpRelay& relay,
                  const HttpRequest& request,
                  HttpExchange exchange);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_RELAY_RELAY_CONTROL_H_
