#ifndef COPPERVALVE_GATEWAY_TCP_ACCEPTOR_H_
#define COPPERVALVE_GATEWAY_TCP_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <string>      // string

#include "coppervalve/core/result.h"

namespace coppervalve::gateway {

/// @brief Accepts TCP connections on one address until it is destroyed.
class TcpAcceptor : public std::enable_shared_from_this<TcpAcceptor> {
 public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @param on_connection not called after the acceptor was destroyed
  TcpAcceptor(boost::asio::io_context& io, Handler on_connection);

  /// @param address "ip:port"
  /// @return kSettingBadValue if the address can't ever be bound,
  /// kAddressUnavailable if not now; Listen() may be called again then
  core::Status Listen(const std::string& address, int backlog);

 private:
  boost::system::error_code Bind(const boost::asio::ip::tcp::endpoint& local,
                                 int backlog);
  void Accept();
  void AcceptAfterPause();

  const Handler m_on_connection;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_pause;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_TCP_ACCEPTOR_H_
