#include "coppervalve/net/peer_server.h"

#include <algorithm>  // find, find_if
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>   // milliseconds
#include <mutex>    // mutex
#include <utility>  // exchange, move
#include <vector>   // vector

#include "coppervalve/net/listen_error.h"
#include "detail/peer_server_connection.h"

namespace coppervalve::net {
namespace {

using boost::system::error_code;
using detail::PeerServerConnection;
using detail::PeerServerShared;
using tcp = boost::asio::ip::tcp;

// Delay after a failed accept (e.g. out of file descriptors); an immediate
// retry would busy-loop.
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl> {
  Impl(boost::asio::io_context& context,
       std::string listen_address,
       uint16_t listen_port,
       std::string secret,
       PeerServerCallbacks callbacks,
       const PeerSettings& settings)
      : io(context),
        strand(boost::asio::make_strand(context)),
        acceptor(strand),
        accept_timer(strand),
        address(std::move(listen_address)),
        port(listen_port),
        shared(std::make_shared<PeerServerShared>(std::move(secret),
                                                  std::move(callbacks),
                                                  settings)) {}

  error_code Bind();
  void Accept();
  void OnAccepted(error_code error, tcp::socket socket);
  void Serve(tcp::socket socket);
  /// @pre the mutex is held
  bool MakeRoom();
  void Forget(const std::shared_ptr<PeerServerConnection>& connection);
  void StopAccepting();
  void ReportClosed();

  boost::asio::io_context& io;
  boost::asio::any_io_executor strand;
  tcp::acceptor acceptor;
  boost::asio::steady_timer accept_timer;
  const std::string address;
  const uint16_t port;
  uint16_t bound_port = 0;
  const std::shared_ptr<PeerServerShared> shared;

  std::mutex mutex;  // guards the members below
  bool closing = false;
  std::vector<std::shared_ptr<PeerServerConnection>> connections;
  std::vector<std::function<void()>> on_closed;
};

error_code PeerServer::Impl::Bind() {
  error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (error) {
    return error;
  }
  const tcp::endpoint endpoint(ip, port);
  acceptor.open(endpoint.protocol(), error);
  if (error) {
    return error;
  }
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (error) {
    return error;
  }
  acceptor.bind(endpoint, error);
  if (error) {
    return error;
  }
  acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    return error;
  }
  bound_port = acceptor.local_endpoint(error).port();
  return error;
}

void PeerServer::Impl::Accept() {
  acceptor.async_accept(
      boost::asio::make_strand(io),
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        self->OnAccepted(error, std::move(socket));
      });
}

void PeerServer::Impl::OnAccepted(error_code error, tcp::socket socket) {
  if (!acceptor.is_open()) {
    return;
  }
  if (!error) {
    Serve(std::move(socket));
    Accept();
    return;
  }
  accept_timer.expires_after(kAcceptPause);
  accept_timer.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && self->acceptor.is_open()) {
      self->Accept();
    }
  });
}

void PeerServer::Impl::Serve(tcp::socket socket) {
  const auto connection =
      std::make_shared<PeerServerConnection>(shared, socket.get_executor());
  {
    const std::lock_guard lock(mutex);
    if (closing || !MakeRoom()) {
      return;
    }
    connections.push_back(connection);
  }
  const std::weak_ptr<PeerServerConnection> weak = connection;
  connection->Start(std::move(socket), [self = shared_from_this(), weak] {
    self->Forget(weak.lock());
  });
}

// Connections that have not shown the shared secret give way, the oldest first,
// so that others than routers can't shut routers out.
bool PeerServer::Impl::MakeRoom() {
  if (connections.size() < shared->settings.max_connections) {
    return true;
  }
  const auto stranger = std::find_if(
      connections.begin(), connections.end(),
      [](const auto& connection) { return !connection->authenticated(); });
  if (stranger == connections.end()) {
    return false;
  }
  (*stranger)->Abort();
  connections.erase(stranger);
  return true;
}

void PeerServer::Impl::Forget(
    const std::shared_ptr<PeerServerConnection>& connection) {
  {
    const std::lock_guard lock(mutex);
    const auto found =
        std::find(connections.begin(), connections.end(), connection);
    if (found != connections.end()) {
      connections.erase(found);
    }
  }
  ReportClosed();
}

void PeerServer::Impl::StopAccepting() {
  boost::asio::post(strand, [self = shared_from_this()] {
    error_code ignored;
    self->acceptor.close(ignored);
    self->accept_timer.cancel();
  });
}

void PeerServer::Impl::ReportClosed() {
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard lock(mutex);
    if (!closing || !connections.empty()) {
      return;
    }
    callbacks = std::exchange(on_closed, {});
  }
  for (auto& callback : callbacks) {
    boost::asio::post(strand, std::move(callback));
  }
}

PeerServer::PeerServer(boost::asio::io_context& io,
                       std::string address,
                       uint16_t port,
                       std::string shared_secret,
                       PeerServerCallbacks callbacks,
                       PeerSettings settings)
    : m_impl(std::make_shared<Impl>(io,
                                    std::move(address),
                                    port,
                                    std::move(shared_secret),
                                    std::move(callbacks),
                                    settings)) {}

PeerServer::~PeerServer() {
  m_impl->StopAccepting();
  std::vector<std::shared_ptr<PeerServerConnection>> connections;
  {
    const std::lock_guard lock(m_impl->mutex);
    m_impl->closing = true;
    connections = m_impl->connections;
  }
  for (const auto& connection : connections) {
    connection->Abort();
  }
}

core::Status PeerServer::Listen() {
  // With a missing setting, anybody could create a valid proof with the empty
  // secret, and the error would go unnoticed until a forged message took
  // effect.
  if (m_impl->shared->secret_missing) {
    return core::Error{core::ErrorId::kSettingBadValue, "shared secret",
                       "empty"};
  }
  const error_code error = m_impl->Bind();
  if (error) {
    boost::system::error_code ignored;
    m_impl->acceptor.close(ignored);
    return ListenError(m_impl->address, error);
  }
  boost::asio::post(m_impl->strand, [impl = m_impl] { impl->Accept(); });
  return core::Ok();
}

uint16_t PeerServer::port() const {
  return m_impl->bound_port;
}

void PeerServer::Close(std::function<void()> on_closed) {
  m_impl->StopAccepting();
  std::vector<std::shared_ptr<PeerServerConnection>> connections;
  {
    const std::lock_guard lock(m_impl->mutex);
    m_impl->closing = true;
    if (on_closed) {
      m_impl->on_closed.push_back(std::move(on_closed));
    }
    connections = m_impl->connections;
  }
  for (const auto& connection : connections) {
    connection->Drain();
  }
  m_impl->ReportClosed();
}

}  // namespace coppervalve::net
