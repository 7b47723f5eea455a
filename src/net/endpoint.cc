#include "coppervalve/net/endpoint.h"

#include "socket_util.h"

namespace coppervalve::net {

std::optional<Endpoint> ReadEndpoint(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return std::nullopt;
  }
  return Endpoint{endpoint->address().to_string(), endpoint->port(),
                  endpoint->address().is_unspecified()};
}

}  // namespace coppervalve::net
