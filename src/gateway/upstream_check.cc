#include "coppervalve/gateway/upstream_check.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>  // make_address
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>   // milliseconds
#include <memory>   // shared_ptr
#include <utility>  // move

#include "coppervalve/net/endpoint.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kConnectTimeout{500};

/// State of one connection attempt.
struct ConnectAttempt {
  explicit ConnectAttempt(boost::asio::io_context& io)
      : socket(io), timer(io) {}
  tcp::socket socket;
  boost::asio::steady_timer timer;
};

}  // namespace

void UpstreamCheck::Start(const std::string& address,
                          std::function<void()> on_refused) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode bad_address;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), bad_address);
  if (!endpoint || bad_address || !m_pending.insert(address).second) {
    return;
  }
  const auto attempt = std::make_shared<ConnectAttempt>(m_io);
  attempt->timer.expires_after(kConnectTimeout);
  attempt->timer.async_wait([attempt](const ErrorCode& code) {
    if (!code) {
      ErrorCode ignored;
      attempt->socket.close(ignored);
    }
  });
  attempt->socket.async_connect(
      tcp::endpoint(ip, endpoint->port),
      [this, attempt, address,
       on_refused = std::move(on_refused)](const ErrorCode& code) {
        attempt->timer.cancel();
        ErrorCode ignored;
        attempt->socket.close(ignored);
        m_pending.erase(address);
        if (code == boost::asio::error::connection_refused) {
          on_refused();
        }
      });
}

}  // namespace coppervalve::gateway
