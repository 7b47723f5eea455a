#ifndef COPPERVALVE_NET_ENDPOINT_H_
#define COPPERVALVE_NET_ENDPOINT_H_

#include <cstdint>      // uint16_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::net {

/// @brief An IP address and a port.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  bool any_address = false;  ///< 0.0.0.0 or [::]: valid only for listening
};

/// @return the parts of "ip:port" or "[ip]:port"; empty when malformed
std::optional<Endpoint> ReadEndpoint(std::string_view address);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_ENDPOINT_H_
