#include "coppervalve/gateway/relay_server.h"

#include <algorithm>                  // count_if
#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <utility>                    // move

#include "coppervalve/net/endpoint.h"
#include "relay_session.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 256;
// Each takes two descriptors, and up to two buffers of unsent bytes.
constexpr size_t kMaxSessions = 256;
// An immediate retry would keep the event loop busy, for example when file
// descriptors run out.
constexpr std::chrono::milliseconds kAcceptPause{50};

}  // namespace

RelayServer::RelayServer(boost::asio::io_context& io,
                         const Dialer& dialer,
                         Hooks hooks)
    : m_io(io),
      m_dialer(dialer),
      m_hooks(std::move(hooks)),
      m_acceptor(io),
      m_accept_pause(io) {}

RelayServer::~RelayServer() {
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

core::Status RelayServer::Listen(const std::string& address) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode code;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), code);
  if (!endpoint || code) {
    return core::Error{core::ErrorId::kSettingBadValue, address,
                       "invalid address"};
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
    ErrorCode ignored;
    m_acceptor.close(ignored);
    return core::Error{core::ErrorId::kSettingBadValue, address,
                       code.message()};
  }
  Accept();
  return core::Ok();
}

void RelayServer::Accept() {
  m_acceptor.async_accept([this](const ErrorCode& code, tcp::socket socket) {
    if (code == boost::asio::error::operation_aborted) {
      return;
    }
    if (code) {
      m_accept_pause.expires_after(kAcceptPause);
      m_accept_pause.async_wait([this](const ErrorCode& waited) {
        if (!waited) {
          Accept();
        }
      });
      return;
    }
    std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
    const auto session = std::make_shared<RelaySession>(
        m_io, m_dialer, std::move(socket),
        [this](const core::UpstreamId& id) -> std::optional<std::string> {
          auto address = m_sessions.size() > kMaxSessions
                             ? std::nullopt
                             : m_hooks.address_of(id);
          m_hooks.on_request(address.has_value());
          return address;
        },
        m_hooks.on_connect);
    m_sessions.push_back(session);
    session->Start();
    Accept();
  });
}

size_t RelayServer::Busy() const {
  return static_cast<size_t>(
      std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return session && session->busy();
      }));
}

}  // namespace coppervalve::gateway
