#include "coppervalve/gateway/listener.h"

#include <utility>  // move

namespace coppervalve::gateway {

namespace {

constexpr int kBacklog = 1'024;
constexpr size_t kCleanupInterval = 64;

}  // namespace

Listener::Listener(boost::asio::io_context& io, CallerConnection::Hooks hooks)
    : m_io(io),
      m_hooks(
          std::make_shared<const CallerConnection::Hooks>(std::move(hooks))),
      m_acceptor(std::make_shared<TcpAcceptor>(
          io,
          [this](boost::asio::ip::tcp::socket socket) {
            OnConnection(std::move(socket));
          })) {}

core::Status Listener::Listen(const std::string& address) {
  return m_acceptor->Listen(address, kBacklog);
}

void Listener::OnConnection(boost::asio::ip::tcp::socket socket) {
  const auto connection =
      std::make_shared<CallerConnection>(m_io, std::move(socket), m_hooks);
  if (++m_accepted % kCleanupInterval == 0) {
    std::erase_if(m_connections,
                  [](const auto& weak) { return weak.expired(); });
  }
  m_connections.push_back(connection);
  connection->Start();
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

void Listener::EndRequests(DrainEnd step) {
  for (const auto& weak : m_connections) {
    if (const CallerRef connection = weak.lock()) {
      connection->EndRequest(step);
    }
  }
}

}  // namespace coppervalve::gateway
