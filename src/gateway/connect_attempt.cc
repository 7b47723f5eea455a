#include "coppervalve/gateway/connect_attempt.h"

#include <boost/asio/error.hpp>       // connection_refused
#include <boost/asio/ip/address.hpp>  // make_address
#include <boost/asio/post.hpp>        // post
#include <utility>                    // exchange, move

#include "coppervalve/net/endpoint.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

ConnectResult ResultOf(const ErrorCode& code) {
  if (!code) {
    return ConnectResult::kOpen;
  }
  return code == boost::asio::error::connection_refused
             ? ConnectResult::kRefused
             : ConnectResult::kFailed;
}

}  // namespace

std::string_view ToString(ConnectResult result) {
  switch (result) {
    case ConnectResult::kOpen:
      return "open";
    case ConnectResult::kRefused:
      return "connection refused";
    case ConnectResult::kTimedOut:
      return "connect timed out";
    case ConnectResult::kFailed:
      return "connect failed";
    case ConnectResult::kInvalidAddress:
      break;
  }
  return "invalid address";
}

ConnectAttempt::ConnectAttempt(boost::asio::io_context& io, OnDone on_done)
    : m_io(io), m_socket(io), m_timer(io), m_on_done(std::move(on_done)) {}

void ConnectAttempt::Start(const std::string& address,
                           std::chrono::milliseconds timeout) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode bad_address;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), bad_address);
  if (!endpoint || bad_address) {
    boost::asio::post(m_io, [self = shared_from_this()] {
      self->Finish(ConnectResult::kInvalidAddress);
    });
    return;
  }
  m_timer.expires_after(timeout);
  m_timer.async_wait([self = shared_from_this()](const ErrorCode& code) {
    if (!code) {
      self->Finish(ConnectResult::kTimedOut);
    }
  });
  m_socket.async_connect(tcp::endpoint(ip, endpoint->port),
                         [self = shared_from_this()](const ErrorCode& code) {
                           self->Finish(ResultOf(code));
                         });
}

void ConnectAttempt::Cancel() {
  m_on_done = nullptr;
  m_timer.cancel();
  ErrorCode ignored;
  m_socket.close(ignored);
}

void ConnectAttempt::Finish(ConnectResult result) {
  const OnDone on_done = std::exchange(m_on_done, nullptr);
  if (!on_done) {
    return;
  }
  m_timer.cancel();
  if (result != ConnectResult::kOpen) {
    ErrorCode ignored;
    m_socket.close(ignored);
  }
  on_done(result, std::move(m_socket));
}

std::shared_ptr<ConnectAttempt> Dialer::Dial(
    const std::string& address,
    std::chrono::milliseconds timeout,
    ConnectAttempt::OnDone on_done) const {
  return DialRouter(m_map ? m_map(address) : address, timeout,
                    std::move(on_done));
}

std::shared_ptr<ConnectAttempt> Dialer::DialRouter(
    const std::string& address,
    std::chrono::milliseconds timeout,
    ConnectAttempt::OnDone on_done) const {
  auto attempt = std::make_shared<ConnectAttempt>(m_io, std::move(on_done));
  attempt->Start(address, timeout);
  return attempt;
}

}  // namespace coppervalve::gateway
