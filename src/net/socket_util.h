#ifndef COPPERVALVE_SRC_NET_SOCKET_UTIL_H_
#define COPPERVALVE_SRC_NET_SOCKET_UTIL_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>     // optional
#include <string_view>  // string_view

namespace coppervalve::net {

/// @return the endpoint of "ip:port" or "[ip]:port"; empty when malformed
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

/// @brief Sets the options of all connections: no delay, and a timeout for an
/// unresponsive peer.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

/// @return whether the other side has closed the connection
bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket);

/// @return whether an idle connection cannot be reused: it is closed or has
/// received unsolicited bytes
bool IsIdleUnusable(boost::asio::ip::tcp::socket& socket);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_SOCKET_UTIL_H_
