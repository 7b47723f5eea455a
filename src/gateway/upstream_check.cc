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

constexpr std::chrono::milliseconds kCheckTime{500};

/// What one question needs until it is answered.
struct Question {
  explicit Question(boost::asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  boost::asio::steady_timer timer;
};

}  // namespace

void UpstreamCheck::Ask(const std::string& address,
                        std::function<void()> on_refused) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode bad_address;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), bad_address);
  if (!endpoint || bad_address || !m_asking.insert(address).second) {
    return;
  }
  const auto question = std::make_shared<Question>(m_io);
  question->timer.expires_after(kCheckTime);
  question->timer.async_wait([question](const ErrorCode& code) {
    if (!code) {
      ErrorCode ignored;
      question->socket.close(ignored);
    }
  });
  question->socket.async_connect(
      tcp::endpoint(ip, endpoint->port),
      [this, question, address,
       on_refused = std::move(on_refused)](const ErrorCode& code) {
        question->timer.cancel();
        ErrorCode ignored;
        question->socket.close(ignored);
        m_asking.erase(address);
        if (code == boost::asio::error::connection_refused) {
          on_refused();
        }
      });
}

}  // namespace coppervalve::gateway
