#ifndef COPPERVALVE_NET_DETAIL_PEER_SOCKET_H_
#define COPPERVALVE_NET_DETAIL_PEER_SOCKET_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>       // milliseconds
#include <cstddef>      // size_t
#include <functional>   // function
#include <span>         // span
#include <string_view>  // string_view

namespace coppervalve::net::detail {

/// @brief A connected TCP socket in non-blocking mode. The only code that
/// accesses the byte stream, so TLS would be added here.
class PeerSocket {
 public:
  using Waiter = std::function<void(boost::system::error_code)>;

  explicit PeerSocket(boost::asio::ip::tcp::socket socket);

  /// @brief Sets non-blocking mode and the TCP options.
  boost::system::error_code Configure(std::chrono::milliseconds user_timeout);

  /// @return bytes read; `error` is would_block when none are available
  size_t ReadSome(std::span<char> buffer, boost::system::error_code& error);
  /// @return bytes accepted by the kernel; `error` is would_block when none fit
  size_t WriteSome(std::string_view bytes, boost::system::error_code& error);

  void WaitReadable(Waiter waiter);
  void WaitWritable(Waiter waiter);

  void ShutdownSend();
  void Close();

  boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

 private:
  boost::asio::ip::tcp::socket m_socket;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_SOCKET_H_
