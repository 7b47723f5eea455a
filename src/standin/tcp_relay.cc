#include "coppervalve/standin/tcp_relay.h"

#include <array>  // array
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>     // function
#include <string>         // to_string
#include <unordered_set>  // unordered_set
#include <utility>        // move, pair
#include <vector>         // vector

#include "event_loop_context.h"

namespace coppervalve::standin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t kBufferBytes = 64 << 10;

constexpr std::array<std::pair<std::string_view, RelayMode>, 5> kModeNames = {
    {{"pass", RelayMode::kPass},
     {"stall", RelayMode::kStall},
     {"stall-existing", RelayMode::kStallExisting},
     {"refuse", RelayMode::kRefuse},
     {"cut", RelayMode::kCut}}};

tcp::endpoint EndpointOf(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace

std::optional<RelayMode> ParseRelayMode(std::string_view name) {
  for (const auto& [known, mode] : kModeNames) {
    if (known == name) {
      return mode;
    }
  }
  return std::nullopt;
}

std::string_view RelayModeName(RelayMode mode) {
  for (const auto& [name, known] : kModeNames) {
    if (known == mode) {
      return name;
    }
  }
  return {};
}

// A client connection and the connection to the target opened for it.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<RelayedConnection>&)> on_closed;
    std::function<void(size_t)> on_forwarded;
  };

  RelayedConnection(tcp::socket client, asio::io_context& io, Hooks hooks)
      : m_hooks(std::move(hooks)),
        m_client{std::move(client), {}, {}, 0, false},
        m_target{tcp::socket(io), {}, {}, 0, false} {}

  void Connect(const tcp::endpoint& target);
  // A silenced connection must not be stalled: resuming it would forward data
  // again.
  void Stall() { m_stalled = !m_silenced; }
  void Resume();
  void Silence();
  void Reset();

 private:
  // One of the two sockets and the data read from it.
  struct Peer {
    tcp::socket socket;
    std::array<char, kBufferBytes> buffer;
    ErrorCode read_error;       // error that ended reading
    size_t buffered_bytes = 0;  // bytes read but not forwarded while stalled
    bool paused = false;        // no read or write is in progress
  };

  Peer& Other(Peer& peer) { return &peer == &m_client ? m_target : m_client; }
  void ReadNext(Peer& from);
  void OnRead(Peer& from, const ErrorCode& error, size_t bytes);
  void Forward(Peer& from, size_t bytes);
  void OnReadEnd(Peer& from);
  void Close();

  Hooks m_hooks;
  Peer m_client;  // from the client
  Peer m_target;  // from the target
  bool m_connected = false;
  bool m_stalled = false;
  bool m_silenced = false;
  bool m_closed = false;
};

void RelayedConnection::Connect(const tcp::endpoint& target) {
  ErrorCode ignored;
  m_client.socket.set_option(tcp::no_delay(true), ignored);
  m_target.socket.async_connect(
      target, [self = shared_from_this()](const ErrorCode& error) {
        if (error) {
          self->Reset();
          return;
        }
        ErrorCode unused;
        self->m_target.socket.set_option(tcp::no_delay(true), unused);
        self->m_connected = true;
        self->ReadNext(self->m_client);
        self->ReadNext(self->m_target);
      });
}

void RelayedConnection::Resume() {
  m_stalled = false;
  for (Peer* peer : {&m_client, &m_target}) {
    if (!peer->paused) {
      continue;
    }
    peer->paused = false;
    if (peer->buffered_bytes > 0) {
      Forward(*peer, std::exchange(peer->buffered_bytes, 0));
    } else {
      OnReadEnd(*peer);
    }
  }
}

// Bytes are still read and discarded, so that the relay detects when one peer
// closes. The close is not forwarded, because the other peer must not notice.
void RelayedConnection::Silence() {
  m_silenced = true;
  m_stalled = false;
  for (Peer* peer : {&m_client, &m_target}) {
    if (std::exchange(peer->paused, false)) {
      peer->buffered_bytes = 0;
      ReadNext(*peer);
    }
  }
}

void RelayedConnection::Reset() {
  ErrorCode ignored;
  // A linger time of zero makes close() send RST instead of FIN.
  m_client.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  m_target.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void RelayedConnection::ReadNext(Peer& from) {
  from.socket.async_read_some(
      asio::buffer(from.buffer),
      [self = shared_from_this(), &from](const ErrorCode& error, size_t bytes) {
        self->OnRead(from, error, bytes);
      });
}

void RelayedConnection::OnRead(Peer& from,
                               const ErrorCode& error,
                               size_t bytes) {
  if (m_closed) {
    return;
  }
  from.read_error = error;
  if (m_stalled) {
    from.paused = true;
    from.buffered_bytes = bytes;
    return;
  }
  if (error) {
    OnReadEnd(from);
    return;
  }
  if (m_silenced) {
    ReadNext(from);
    return;
  }
  Forward(from, bytes);
}

void RelayedConnection::Forward(Peer& from, size_t bytes) {
  m_hooks.on_forwarded(bytes);
  asio::async_write(
      Other(from).socket, asio::buffer(from.buffer.data(), bytes),
      [self = shared_from_this(), &from](const ErrorCode& error, size_t) {
        if (self->m_closed) {
          return;
        }
        // When silenced, one peer may close while the other must not notice.
        if (error && !self->m_silenced) {
          self->Close();
          return;
        }
        self->ReadNext(from);
      });
}

void RelayedConnection::OnReadEnd(Peer& from) {
  ErrorCode ignored;
  if (m_silenced) {
    from.socket.close(ignored);
    if (!Other(from).socket.is_open()) {
      Close();
    }
    return;
  }
  if (from.read_error != asio::error::eof) {
    Reset();
    return;
  }
  // A half-close is forwarded; the connection ends after both directions are
  // closed.
  Other(from).socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (Other(from).read_error) {
    Close();
  }
}

void RelayedConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  ErrorCode ignored;
  m_client.socket.close(ignored);
  m_target.socket.close(ignored);
  m_hooks.on_closed(shared_from_this());
}

struct TcpRelay::Impl {
  Impl(EventLoop& loop, Address from, const Address& target)
      : io(loop.context().io),
        listen(std::move(from)),
        to(EndpointOf(target)),
        acceptor(io) {}

  core::Status Open();
  void AcceptNext();
  void Accept(tcp::socket client);
  std::vector<std::shared_ptr<RelayedConnection>> Connections() const {
    return {connections.begin(), connections.end()};
  }

  asio::io_context& io;
  Address listen;
  tcp::endpoint to;
  tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<RelayedConnection>> connections;
  RelayMode mode = RelayMode::kPass;
  RelayStats stats;
};

core::Status TcpRelay::Impl::Open() {
  if (acceptor.is_open()) {
    return core::Ok();
  }
  const tcp::endpoint endpoint = EndpointOf(listen);
  ErrorCode error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    ErrorCode ignored;
    acceptor.close(ignored);
    return core::Error{core::ErrorId::kSettingBadValue,
                       listen.ip + ":" + std::to_string(listen.port),
                       error.message()};
  }
  AcceptNext();
  return core::Ok();
}

void TcpRelay::Impl::AcceptNext() {
  acceptor.async_accept([this](const ErrorCode& error, tcp::socket client) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      Accept(std::move(client));
    }
    AcceptNext();
  });
}

void TcpRelay::Impl::Accept(tcp::socket client) {
  ++stats.accepted;
  const auto connection = std::make_shared<RelayedConnection>(
      std::move(client), io,
      RelayedConnection::Hooks{
          [this](const std::shared_ptr<RelayedConnection>& closed) {
            connections.erase(closed);
          },
          [this](size_t bytes) { stats.bytes += bytes; }});
  connections.insert(connection);
  if (mode == RelayMode::kStall) {
    connection->Stall();
  }
  connection->Connect(to);
}

TcpRelay::TcpRelay(EventLoop& loop, Address listen, const Address& to)
    : m_impl(std::make_unique<Impl>(loop, std::move(listen), to)) {}

TcpRelay::~TcpRelay() = default;

core::Status TcpRelay::Start() {
  return m_impl->Open();
}

core::Status TcpRelay::SetMode(RelayMode mode) {
  m_impl->mode = mode;
  for (const auto& connection : m_impl->Connections()) {
    switch (mode) {
      case RelayMode::kPass:
      case RelayMode::kRefuse:
        connection->Resume();
        break;
      case RelayMode::kStall:
        connection->Stall();
        break;
      case RelayMode::kStallExisting:
        connection->Silence();
        break;
      case RelayMode::kCut:
        connection->Reset();
        break;
    }
  }
  if (mode != RelayMode::kRefuse && mode != RelayMode::kCut) {
    return m_impl->Open();
  }
  ErrorCode ignored;
  m_impl->acceptor.close(ignored);
  return core::Ok();
}

RelayMode TcpRelay::mode() const {
  return m_impl->mode;
}

RelayStats TcpRelay::stats() const {
  RelayStats stats = m_impl->stats;
  stats.open = m_impl->connections.size();
  return stats;
}

}  // namespace coppervalve::standin
