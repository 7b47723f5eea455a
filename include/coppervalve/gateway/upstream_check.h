#ifndef COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <functional>     // function
#include <string>         // string
#include <unordered_set>  // unordered_set

namespace coppervalve::gateway {

/// @brief Checks whether a process listens on an upstream's address.
class UpstreamCheck {
 public:
  explicit UpstreamCheck(boost::asio::io_context& io) : m_io(io) {}

  /// @brief Opens a connection and closes it. Does nothing while a check of the
  /// same address is running.
  /// @param on_refused called only if the connection is refused; a timeout
  /// proves nothing, since the network or the VM may be slow
  void Start(const std::string& address, std::function<void()> on_refused);

 private:
  boost::asio::io_context& m_io;
  std::unordered_set<std::string> m_pending;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
