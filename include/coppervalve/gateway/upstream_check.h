#ifndef COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_

#include <functional>     // function
#include <string>         // string
#include <unordered_set>  // unordered_set

#include "coppervalve/gateway/connect_attempt.h"

namespace coppervalve::gateway {

/// @brief Checks whether a process listens on an upstream's address.
class UpstreamCheck {
 public:
  /// @param dialer outlives the object
  explicit UpstreamCheck(const Dialer& dialer) : m_dialer(dialer) {}

  /// @brief Opens a connection and closes it. Does nothing while a check of the
  /// same address is running.
  /// @param on_refused called only if the connection is refused; a timeout
  /// proves nothing, since the network or the VM may be slow
  void Start(const std::string& address, std::function<void()> on_refused);

 private:
  const Dialer& m_dialer;
  std::unordered_set<std::string> m_pending;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_CHECK_H_
