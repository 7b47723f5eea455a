#ifndef COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <functional>     // function
#include <string>         // string
#include <unordered_set>  // unordered_set

namespace coppervalve::gateway {

/// @brief Tells whether anybody listens at an upstream's address.
class UpstreamCheck {
 public:
  explicit UpstreamCheck(boost::asio::io_context& io) : m_io(io) {}

  /// @brief Opens a connection and closes it. Does nothing while the same
  /// address is asked already.
  /// @param on_refused called only when nobody listens: no answer in time says
  /// nothing, as the link or the VM may be slow
  void Start(const std::string& address, std::function<void()> on_refused);

 private:
  boost::asio::io_context& m_io;
  std::unordered_set<std::string> m_pending;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
