#include "coppervalve/gateway/listener.h"

#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <utility>                    // move

#include "coppervalve/net/endpoint.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 1'024;
constexpr size_t kCleanupInterval = 64;
// Delay after a failed accept, for example when file descriptors run out: an
// immediate retry would keep the event loop busy.
constexpr std::chrono::milliseconds kAcceptPause{50};

core::Error ListenError(const std::string& address, const std::string& why) {
  return {core::ErrorId::kSettingBadValue, address, why};
}

}  // namespace

Listener::Listener(boost::asio::io_context& io, CallerConnection::Hooks hooks)
    : m_io(io),
      m_hooks(
          std::make_shared<const CallerConnection::Hooks>(std::move(hooks))),
      m_acceptor(io),
      m_accept_pause(io) {}

core::Status Listener::Listen(const std::string& address) {
  const auto endpoint = net::ReadEndpoint(address);
  if (!endpoint) {
    return ListenError(address, "invalid address");
  }
  ErrorCode code;
  const auto ip = boost::asio::ip::make_address(endpoint->ip, code);
  if (code) {
    return ListenError(address, code.message());
  }
  const tcp::endpoint local(ip, endpoint->port);
  m_acceptor.open(local.protocol(), code);
  if (!code) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    m_acceptor.bind(local, code);
  }
  if (!code) {
    m_acceptor.listen(kBacklog, code);
  }
  if (code) {
    return ListenError(address, code.message());
  }
  Accept();
  return core::Ok();
}

void Listener::Accept() {
  m_acceptor.async_accept(
      [self = shared_from_this()](const ErrorCode& code, tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted) {
          return;
        }
        if (code) {
          self->m_accept_pause.expires_after(kAcceptPause);
          self->m_accept_pause.async_wait(
              [self](const ErrorCode& /*code*/) { self->Accept(); });
          return;
        }
        const auto connection = std::make_shared<CallerConnection>(
            self->m_io, std::move(socket), self->m_hooks);
        if (++self->m_accepted % kCleanupInterval == 0) {
          std::erase_if(self->m_connections,
                        [](const auto& weak) { return weak.expired(); });
        }
        self->m_connections.push_back(connection);
        connection->Start();
        self->Accept();
      });
}

size_t Listener::Busy() const {
  size_t busy = 0;
  for (const auto& weak : m_connections) {
    const CallerRef connection = weak.lock();
    busy += connection && connection->busy() ? 1 : 0;
  }
  return busy;
}

void Listener::CloseIdle() {
  for (const auto& weak : m_connections) {
    if (const CallerRef connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

}  // namespace coppervalve::gateway
