#ifndef COPPERVALVE_GATEWAY_CONNECT_ATTEMPT_H_
#define COPPERVALVE_GATEWAY_CONNECT_ATTEMPT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>       // milliseconds
#include <cstdint>      // uint8_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // move

namespace coppervalve::gateway {

/// @brief How an attempt to open a connection ended.
enum class ConnectResult : uint8_t {
  kOpen,
  kRefused,         ///< nothing listens on the address
  kTimedOut,        ///< no reply
  kFailed,          ///< another error, perhaps of this VM
  kInvalidAddress,  ///< not "ip:port"
};

std::string_view ToString(ConnectResult result);

/// @brief Opens one TCP connection within a time limit.
class ConnectAttempt : public std::enable_shared_from_this<ConnectAttempt> {
 public:
  /// @param socket open if, and only if, the result is kOpen
  using OnDone = std::function<void(ConnectResult result,
                                    boost::asio::ip::tcp::socket socket)>;

  ConnectAttempt(boost::asio::io_context& io, OnDone on_done);

  /// @param address "ip:port"
  /// @brief The handler is called once, never from within Start().
  void Start(const std::string& address, std::chrono::milliseconds timeout);
  /// @brief Gives up; the handler is not called any more.
  void Cancel();

 private:
  void Finish(ConnectResult result);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  OnDone m_on_done;
};

/// @brief Opens connections to upstreams, and to routers that relay to them.
class Dialer {
 public:
  using AddressMap = std::function<std::string(const std::string& address)>;

  /// @param map the address at which an upstream's address is reached from this
  /// VM; null: the same
  explicit Dialer(boost::asio::io_context& io, AddressMap map = nullptr)
      : m_io(io), m_map(std::move(map)) {}

  /// @param address "ip:port" of an upstream, as in its record
  std::shared_ptr<ConnectAttempt> Dial(const std::string& address,
                                       std::chrono::milliseconds timeout,
                                       ConnectAttempt::OnDone on_done) const;
  /// @param address "ip:port" of another router
  std::shared_ptr<ConnectAttempt> DialRouter(
      const std::string& address,
      std::chrono::milliseconds timeout,
      ConnectAttempt::OnDone on_done) const;
  boost::asio::io_context& io() const { return m_io; }

 private:
  boost::asio::io_context& m_io;
  AddressMap m_map;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_CONNECT_ATTEMPT_H_
