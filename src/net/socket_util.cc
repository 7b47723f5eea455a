#include "socket_util.h"

#include <netinet/in.h>   // IPPROTO_TCP
#include <netinet/tcp.h>  // TCP_USER_TIMEOUT
#include <sys/socket.h>   // recv

#include <cerrno>    // errno
#include <charconv>  // from_chars
#include <cstdint>   // uint16_t
#include <string>    // string

namespace coppervalve::net {

namespace {

using boost::asio::ip::tcp;

// Keepalive of idle connections: detects a dead one in about 11 s.
constexpr int kKeepIdleSeconds = 5;
constexpr int kKeepIntervalSeconds = 2;
constexpr int kKeepCount = 3;
// Keepalive does not cover a connection with unacknowledged data; this timeout
// detects a dead one after the same time.
constexpr int kUserTimeoutMillis = 11000;

void SetInt(tcp::socket& socket, int level, int name, int value) {
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

enum class Peek { kNothing, kBytes, kClosed };

Peek PeekAt(tcp::socket& socket) {
  char byte = 0;
  const ssize_t got =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return Peek::kBytes;
  }
  const bool nothing_yet = got < 0 && (errno == EAGAIN || errno == EINTR);
  return nothing_yet ? Peek::kNothing : Peek::kClosed;
}

}  // namespace

std::optional<tcp::endpoint> ParseEndpoint(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = address.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, failed] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failed != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

void ConfigureSocket(tcp::socket& socket) {
  // If a middlebox drops the state of a connection, the connection stays open
  // and silent forever. Keepalive and the user timeout make the kernel report
  // it; without them a request on it would hang.
  SetInt(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInt(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepIdleSeconds);
  SetInt(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepIntervalSeconds);
  SetInt(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepCount);
  SetInt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMillis);
}

bool IsClosedByPeer(tcp::socket& socket) {
  return PeekAt(socket) == Peek::kClosed;
}

bool IsIdleUnusable(tcp::socket& socket) {
  return PeekAt(socket) != Peek::kNothing;
}

}  // namespace coppervalve::net
