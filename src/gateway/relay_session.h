#ifndef COPPERVALVE_SRC_GATEWAY_RELAY_SESSION_H_
#define COPPERVALVE_SRC_GATEWAY_RELAY_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/ids.h"
#include "coppervalve/gateway/connect_attempt.h"
#include "coppervalve/gateway/stream.h"
#include "coppervalve/http1/request_reader.h"

namespace coppervalve::gateway {

/// @brief One connection of another router, relayed to an upstream.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  using AddressOf =
      std::function<std::optional<std::string>(const core::UpstreamId&)>;

  using OnConnect = std::function<void(const core::UpstreamId&, ConnectResult)>;

  RelaySession(boost::asio::io_context& io,
               const Dialer& dialer,
               boost::asio::ip::tcp::socket socket,
               AddressOf address_of,
               OnConnect on_connect);
  void Start();
  /// @return whether a request was read and is not finished
  bool busy() const { return m_busy; }
  /// @brief Resets both connections.
  void Close();

 private:
  void OnRouterBytes(std::string_view bytes);
  void ReadHead();
  void Connect(const std::string& address);
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void OnUpstreamBytes(std::string_view bytes);
  void OnUpstreamEnd(StreamEnd end);
  void Refuse(int status);

  const Dialer& m_dialer;
  AddressOf m_address_of;
  OnConnect m_on_connect;
  core::UpstreamId m_upstream_id;
  boost::asio::steady_timer m_timer;  ///< for the head
  StreamRef m_router;
  StreamRef m_upstream;
  std::shared_ptr<ConnectAttempt> m_connecting;
  http1::RequestReader m_reader;
  std::string m_unread;
  bool m_busy = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_RELAY_SESSION_H_
