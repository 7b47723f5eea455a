#include "peer_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/socket_base.hpp>
#include <utility>  // move

namespace coppervalve::net::detail {
namespace {

using tcp = boost::asio::ip::tcp;
using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

PeerSocket::PeerSocket(tcp::socket socket) : m_socket(std::move(socket)) {}

// If a middlebox drops the state of the connection, bytes are lost without an
// error. PINGs check the path in both directions. TCP_USER_TIMEOUT makes the
// kernel give up on unacknowledged bytes at the same deadline instead of after
// 15 minutes. Keepalive covers the time before the first PING.
boost::system::error_code PeerSocket::Configure(
    std::chrono::milliseconds user_timeout) {
  boost::system::error_code error;
  m_socket.non_blocking(true, error);
  if (error) {
    return error;
  }
  m_socket.set_option(tcp::no_delay(true), error);
  if (error) {
    return error;
  }
  m_socket.set_option(boost::asio::socket_base::keep_alive(true), error);
  if (error) {
    return error;
  }
  m_socket.set_option(UserTimeout(static_cast<int>(user_timeout.count())),
                      error);
  return error;
}

size_t PeerSocket::ReadSome(std::span<char> buffer,
                            boost::system::error_code& error) {
  return m_socket.read_some(boost::asio::buffer(buffer.data(), buffer.size()),
                            error);
}

size_t PeerSocket::WriteSome(std::string_view bytes,
                             boost::system::error_code& error) {
  return m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()),
                             error);
}

void PeerSocket::WaitReadable(Waiter waiter) {
  m_socket.async_wait(tcp::socket::wait_read, std::move(waiter));
}

void PeerSocket::WaitWritable(Waiter waiter) {
  m_socket.async_wait(tcp::socket::wait_write, std::move(waiter));
}

void PeerSocket::ShutdownSend() {
  boost::system::error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void PeerSocket::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace coppervalve::net::detail
