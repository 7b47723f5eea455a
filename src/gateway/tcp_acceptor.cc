#include "coppervalve/gateway/tcp_acceptor.h"

#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <utility>                    // move

#include "coppervalve/net/endpoint.h"
#include "coppervalve/net/listen_error.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Delay after a failed accept, for example when file descriptors run out: an
// immediate retry would keep the event loop busy.
constexpr std::chrono::milliseconds kAcceptPause{50};

}  // namespace

TcpAcceptor::TcpAcceptor(boost::asio::io_context& io, Handler on_connection)
    : m_on_connection(std::move(on_connection)),
      m_acceptor(io),
      m_accept_pause(io) {}

core::Status TcpAcceptor::Listen(const std::string& address, int backlog) {
  const auto endpoint = net::ReadEndpoint(address);
  if (!endpoint) {
    return core::Error{core::ErrorId::kSettingBadValue, address,
                       "invalid address"};
  }
  ErrorCode code;
  const auto ip = boost::asio::ip::make_address(endpoint->ip, code);
  if (!code) {
    code = Bind(tcp::endpoint(ip, endpoint->port), backlog);
  }
  if (code) {
    return net::ListenError(address, code);
  }
  Accept();
  return core::Ok();
}

ErrorCode TcpAcceptor::Bind(const tcp::endpoint& local, int backlog) {
  ErrorCode code;
  m_acceptor.open(local.protocol(), code);
  if (!code) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    m_acceptor.bind(local, code);
  }
  if (!code) {
    m_acceptor.listen(backlog, code);
  }
  if (code) {
    ErrorCode ignored;
    m_acceptor.close(ignored);
  }
  return code;
}

// The handler may be called after the destructor with a connection that was
// accepted before.
void TcpAcceptor::Accept() {
  m_acceptor.async_accept(
      [weak = weak_from_this()](const ErrorCode& code, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || code == boost::asio::error::operation_aborted) {
          return;
        }
        if (code) {
          self->AcceptAfterPause();
          return;
        }
        self->m_on_connection(std::move(socket));
        self->Accept();
      });
}

void TcpAcceptor::AcceptAfterPause() {
  m_accept_pause.expires_after(kAcceptPause);
  m_accept_pause.async_wait([weak = weak_from_this()](const ErrorCode& code) {
    const auto self = weak.lock();
    if (self && !code) {
      self->Accept();
    }
  });
}

}  // namespace coppervalve::gateway
