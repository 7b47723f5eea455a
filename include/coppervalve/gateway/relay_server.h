#ifndef COPPERVALVE_GATEWAY_RELAY_SERVER_H_
#define COPPERVALVE_GATEWAY_RELAY_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // shared_ptr, weak_ptr
#include <optional>    // optional
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/gateway/connect_attempt.h"
#include "coppervalve/gateway/tcp_acceptor.h"

namespace coppervalve::gateway {

class RelaySession;

/// @brief Connects other routers to upstreams that they can't reach. Only bytes
/// are relayed: the other router decides what it sends and to whom, and its
/// limits apply. See RelayTunnel for the protocol.
class RelayServer {
 public:
  struct Hooks {
    /// @return the address of an upstream to which this router connects others
    /// now; none: it does not
    std::function<std::optional<std::string>(const core::UpstreamId&)>
        address_of;
    /// Called for each request of another router.
    std::function<void(bool accepted)> on_request;
    /// Called when a connection to an upstream was opened or not.
    std::function<void(const core::UpstreamId&, ConnectResult)> on_connect;
  };

  /// @param dialer outlives the server
  /// @param max_sessions connections of other routers, relayed or not yet
  RelayServer(boost::asio::io_context& io,
              const Dialer& dialer,
              size_t max_sessions,
              Hooks hooks);
  ~RelayServer();

  /// @param address "ip:port"
  /// @return kSettingBadValue if the address can't ever be bound,
  /// kAddressUnavailable if not now; Listen() may be called again then
  core::Status Listen(const std::string& address);
  /// @return connections of other routers that are relayed
  /// @complexity linear
  size_t Busy() const;

 private:
  bool MakeRoom();
  void OnConnection(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& m_io;
  const Dialer& m_dialer;
  const size_t m_max_sessions;
  const Hooks m_hooks;
  std::shared_ptr<TcpAcceptor> m_acceptor;
  std::vector<std::weak_ptr<RelaySession>> m_sessions;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_RELAY_SERVER_H_
