#include "peer_channel.h"

#include <algorithm>  // clamp, find
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>      // from_chars
#include <cstdint>       // uint16_t
#include <optional>      // optional
#include <string_view>   // string_view
#include <system_error>  // errc
#include <utility>       // move

namespace coppervalve::net::detail {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

std::optional<tcp::endpoint> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [stopped, bad] = std::from_chars(port_text.data(), end, port);
  error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || bad != std::errc{} || stopped != end || port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

}  // namespace

PeerChannel::PeerChannel(boost::asio::io_context& io,
                         std::string address,
                         const PeerSettings& settings,
                         std::shared_ptr<const PeerSigner> signer)
    : m_address(std::move(address)),
      m_settings(settings),
      m_signer(std::move(signer)),
      m_strand(boost::asio::make_strand(io)),
      m_connect_timer(m_strand) {}

void PeerChannel::Start(std::shared_ptr<PeerCall> call) {
  boost::asio::post(m_strand,
                    [self = shared_from_this(), call = std::move(call)] {
                      self->OnStart(call);
                    });
}

void PeerChannel::Cancel(std::shared_ptr<PeerCall> call) {
  boost::asio::post(m_strand,
                    [self = shared_from_this(), call = std::move(call)] {
                      self->OnCancel(*call);
                    });
}

void PeerChannel::Reject(std::shared_ptr<PeerCall> call, core::Error error) {
  boost::asio::post(m_strand,
                    [self = shared_from_this(), call = std::move(call),
                     error = std::move(error)] {
                      call->End(ForwardOutcome{false, false, error});
                    });
}

void PeerChannel::Close(std::function<void()> on_closed) {
  boost::asio::post(m_strand, [self = shared_from_this(),
                               on_closed = std::move(on_closed)]() mutable {
    self->m_closing = true;
    self->m_on_closed.push_back(std::move(on_closed));
    self->DrainIfClosing();
    self->ReportClosed();
  });
}

void PeerChannel::Abort() {
  boost::asio::post(m_strand, [self = shared_from_this()] {
    self->m_closing = true;
    self->OnConnectFailed("closed");
    for (const auto& connection : self->m_connections) {
      connection->Close(self->Unreachable("closed"));
    }
  });
}

void PeerChannel::OnStart(const std::shared_ptr<PeerCall>& call) {
  if (m_closing) {
    call->End(ForwardOutcome{false, false, Unreachable("closing")});
    return;
  }
  Dispatch(call);
}

void PeerChannel::Dispatch(const std::shared_ptr<PeerCall>& call) {
  if (call->ended) {
    return;
  }
  if (m_current && m_ready) {
    m_current->Submit(call);
    return;
  }
  const bool opening = m_current || m_connecting;
  if (!opening && Clock::now() < m_not_before) {
    // Failing immediately lets the caller choose another peer; waiting for the
    // next attempt would hide that this peer is unreachable.
    call->End(ForwardOutcome{false, false, Unreachable("backing off")});
    return;
  }
  m_waiting.push_back(call);
  if (!opening) {
    Connect();
  }
}

void PeerChannel::OnCancel(PeerCall& call) {
  if (call.ended) {
    return;
  }
  for (const auto& connection : m_connections) {
    if (connection->Cancel(call)) {
      return;
    }
  }
  // A waiting call stays in the list and is skipped when the list is processed.
  call.End(ForwardOutcome{
      false, false,
      core::Error{core::ErrorId::kOutcomeUnknown, m_address, "cancelled"}});
}

void PeerChannel::Connect() {
  const std::optional<tcp::endpoint> endpoint = ParseAddress(m_address);
  if (!endpoint) {
    OnConnectFailed("not an address");
    return;
  }
  m_connecting = std::make_shared<tcp::socket>(m_strand);
  m_connect_timer.expires_after(m_settings.connect_timeout);
  m_connect_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->m_ready) {
      self->OnConnectFailed("connect timed out");
    }
  });
  m_connecting->async_connect(
      *endpoint,
      [self = shared_from_this(), socket = m_connecting](error_code error) {
        if (self->m_connecting != socket) {
          return;
        }
        if (error) {
          self->OnConnectFailed(error.message());
          return;
        }
        self->m_connecting = nullptr;
        self->OnConnected(std::move(*socket));
      });
}

// The kernel of a hung peer still accepts connections, and a request written to
// one would have to count as "may have run". Calls therefore wait for the
// peer's SETTINGS, which show that its process responds. Otherwise they fail as
// "not sent", and the caller can safely use another peer. This costs one round
// trip per new connection.
void PeerChannel::OnConnected(tcp::socket socket) {
  PeerClientConnection::Hooks hooks;
  const auto weak = weak_from_this();
  const auto connection =
      std::make_shared<PeerClientConnection>(m_address, m_settings, m_signer);
  const std::weak_ptr<PeerClientConnection> weak_connection = connection;
  hooks.on_ready = [weak, weak_connection] {
    const auto self = weak.lock();
    if (self && self->m_current == weak_connection.lock()) {
      self->OnReady();
    }
  };
  hooks.on_draining = [weak, weak_connection] {
    const auto self = weak.lock();
    if (self && self->m_current == weak_connection.lock()) {
      self->OnDraining();
    }
  };
  hooks.on_closed = [self = shared_from_this(),
                     weak_connection](const core::Error& error) {
    self->OnConnectionClosed(weak_connection.lock(), error);
  };
  connection->SetHooks(std::move(hooks));
  m_current = connection;
  m_connections.push_back(connection);
  connection->Start(std::move(socket));
}

void PeerChannel::OnReady() {
  m_ready = true;
  m_backoff = std::chrono::milliseconds(0);
  m_connect_timer.cancel();
  const auto waiting = std::exchange(m_waiting, {});
  for (const auto& call : waiting) {
    // A failed submission may have retired the connection; the remaining calls
    // then wait for the next one.
    Dispatch(call);
  }
  DrainIfClosing();
}

void PeerChannel::OnDraining() {
  m_current = nullptr;
  m_ready = false;
}

void PeerChannel::OnConnectionClosed(
    const std::shared_ptr<PeerClientConnection>& closed,
    const core::Error& error) {
  const auto found =
      std::find(m_connections.begin(), m_connections.end(), closed);
  if (found != m_connections.end()) {
    m_connections.erase(found);
  }
  if (m_current == closed) {
    const bool was_ready = m_ready;
    OnDraining();
    if (!was_ready) {
      OnConnectFailed(error.detail);
    }
  }
  ReportClosed();
}

void PeerChannel::OnConnectFailed(const std::string& reason) {
  m_connect_timer.cancel();
  if (m_connecting) {
    error_code ignored;
    m_connecting->close(ignored);
    m_connecting = nullptr;
  }
  if (m_current && !m_ready) {
    std::exchange(m_current, nullptr)->Close(Unreachable(reason));
  }
  m_backoff =
      std::clamp(m_backoff * 2, m_settings.backoff_min, m_settings.backoff_max);
  m_not_before = Clock::now() + m_backoff;
  const auto waiting = std::exchange(m_waiting, {});
  for (const auto& call : waiting) {
    call->End(ForwardOutcome{false, false, Unreachable(reason)});
  }
  ReportClosed();
}

void PeerChannel::DrainIfClosing() {
  if (m_closing && m_current && m_ready) {
    const auto current = m_current;
    current->Drain();
  }
}

void PeerChannel::ReportClosed() {
  if (!m_closing || m_connecting || !m_connections.empty()) {
    return;
  }
  const auto callbacks = std::exchange(m_on_closed, {});
  for (const auto& callback : callbacks) {
    callback();
  }
}

core::Error PeerChannel::Unreachable(std::string detail) const {
  return core::Error{core::ErrorId::kPeerUnreachable, m_address,
                     std::move(detail)};
}

}  // namespace coppervalve::net::detail
