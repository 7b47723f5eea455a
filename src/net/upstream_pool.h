#ifndef COPPERVALVE_SRC_NET_UPSTREAM_POOL_H_
#define COPPERVALVE_SRC_NET_UPSTREAM_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>         // steady_clock
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

namespace coppervalve::net {

/// @brief Pool of idle upstream connections of one traffic thread.
class UpstreamPool {
 public:
  /// @return an idle connection that was open when checked; empty when there is
  /// none
  std::optional<boost::asio::ip::tcp::socket> Acquire(
      const std::string& address);
  /// @brief Closes the idle connections to an upstream.
  void CloseAll(const std::string& address);
  void Release(const std::string& address, boost::asio::ip::tcp::socket socket);

 private:
  using Clock = std::chrono::steady_clock;
  struct Idle {
    boost::asio::ip::tcp::socket socket;
    Clock::time_point since;
  };
  std::unordered_map<std::string, std::vector<Idle>> m_idle;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_UPSTREAM_POOL_H_
