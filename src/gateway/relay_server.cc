#include "coppervalve/gateway/relay_server.h"

#include <algorithm>  // count_if, find_if
#include <utility>    // move

#include "relay_session.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;

constexpr int kBacklog = 256;

}  // namespace

RelayServer::RelayServer(boost::asio::io_context& io,
                         const Dialer& dialer,
                         size_t max_sessions,
                         Hooks hooks)
    : m_io(io),
      m_dialer(dialer),
      m_max_sessions(max_sessions),
      m_hooks(std::move(hooks)),
      m_acceptor(std::make_shared<TcpAcceptor>(io, [this](tcp::socket socket) {
        OnConnection(std::move(socket));
      })) {}

RelayServer::~RelayServer() {
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

core::Status RelayServer::Listen(const std::string& address) {
  return m_acceptor->Listen(address, kBacklog);
}

// A connection without a request gives way, the oldest first.
bool RelayServer::MakeRoom() {
  std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
  if (m_sessions.size() < m_max_sessions) {
    return true;
  }
  const auto waiting =
      std::find_if(m_sessions.begin(), m_sessions.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return session && !session->busy();
      });
  if (waiting == m_sessions.end()) {
    return false;
  }
  if (const auto session = waiting->lock()) {
    session->Close();
  }
  m_sessions.erase(waiting);
  return true;
}

void RelayServer::OnConnection(tcp::socket socket) {
  if (!MakeRoom()) {
    m_hooks.on_request(false);
    return;
  }
  const auto session = std::make_shared<RelaySession>(
      m_io, m_dialer, std::move(socket),
      [this](const core::UpstreamId& id) -> std::optional<std::string> {
        auto address = m_hooks.address_of(id);
        m_hooks.on_request(address.has_value());
        return address;
      },
      m_hooks.on_connect);
  m_sessions.push_back(session);
  session->Start();
}

size_t RelayServer::Busy() const {
  return static_cast<size_t>(
      std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return session && session->busy();
      }));
}

}  // namespace coppervalve::gateway
