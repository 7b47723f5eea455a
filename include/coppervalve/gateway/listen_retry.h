#ifndef COPPERVALVE_GATEWAY_LISTEN_RETRY_H_
#define COPPERVALVE_GATEWAY_LISTEN_RETRY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

/// @brief Opens ports, and tries those again that are not available yet.
class ListenRetry {
 public:
  struct Port {
    std::string name;  ///< for the log
    /// Opens the port; called until it succeeds.
    std::function<core::Status()> open;
    std::function<void()> on_open;
  };
  struct Hooks {
    /// Called when a port could not be opened; for the same reason as before
    /// only every ten seconds.
    std::function<void(const Port&, const core::Error&)> on_failure;
    /// Called when a port was opened that could not be opened before.
    std::function<void(const Port&, core::Duration waited)> on_late_open;
  };

  ListenRetry(boost::asio::io_context& io, Hooks hooks);
  /// @brief Opens a port at once if it is available, otherwise later.
  /// @return kSettingBadValue if it never will be; it is not tried again then
  core::Status Open(Port port);
  /// @return ports that could not be opened so far
  size_t pending() const { return m_pending.size(); }

 private:
  struct Pending {
    Port port;
    core::Error error;
    core::TimePoint since;
    core::TimePoint reported_at;
  };

  void Schedule();
  void RetryAll();
  bool Retry(Pending& pending);

  boost::asio::steady_timer m_timer;
  Hooks m_hooks;
  std::vector<Pending> m_pending;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_LISTEN_RETRY_H_
