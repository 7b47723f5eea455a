#ifndef COPPERVALVE_GATEWAY_LISTENER_H_
#define COPPERVALVE_GATEWAY_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>  // size_t
#include <memory>   // shared_ptr, weak_ptr
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/core/result.h"
#include "coppervalve/gateway/caller_connection.h"
#include "coppervalve/gateway/tcp_acceptor.h"

namespace coppervalve::gateway {

/// @brief Accepts connections of callers on one address.
class Listener {
 public:
  Listener(boost::asio::io_context& io, CallerConnection::Hooks hooks);

  /// @param address "ip:port"
  /// @return kSettingBadValue if the address can't ever be bound,
  /// kAddressUnavailable if not now; Listen() may be called again then
  core::Status Listen(const std::string& address);
  /// @return connections with a request in progress
  size_t Busy() const;
  /// @brief Closes connections without a request in progress.
  void CloseIdle();
  /// @brief Ends requests in progress because the process ends.
  void EndRequests(DrainEnd step);

 private:
  void OnConnection(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& m_io;
  std::shared_ptr<const CallerConnection::Hooks> m_hooks;
  std::shared_ptr<TcpAcceptor> m_acceptor;
  std::vector<std::weak_ptr<CallerConnection>> m_connections;
  size_t m_accepted = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_LISTENER_H_
