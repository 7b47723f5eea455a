#ifndef COPPERVALVE_NET_SHELL_H_
#define COPPERVALVE_NET_SHELL_H_

#include <cstdint>     // uint16_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/net/control_loop.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief Callbacks of the shell. Only `handler` is required.
struct ShellHooks {
  Handler handler;
  /// Called on the control thread, before the handler and before the action.
  std::function<void(core::TimePoint, const router::Event&)> on_event;
  std::function<void(core::TimePoint, const router::Action&)> on_action;
  /// Called on any thread.
  std::function<void(const router::LogLine&)> log;
  std::function<void(const core::Error&)> on_rejected;
  std::function<void(const core::ConnectionLedger::Excess&)>
      on_connection_ended;
  std::function<std::string()> metrics_text;
  /// The incarnation that forwards must be addressed to; any when not set.
  std::function<core::Incarnation()> incarnation;
};

/// @brief The I/O layer of a router process: ports, threads, connections,
/// clock. The decisions are made by the handler.
class Shell {
 public:
  Shell(ShellSettings settings, ShellHooks hooks);
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;
  /// Stops immediately, without a drain.
  ~Shell();

  /// @brief Opens the ports and starts the threads.
  /// @return kSettingBadValue for an address that can't ever be listened on,
  /// kAddressUnavailable if it can't be now; Start() may be called again then
  core::Status Start();
  /// @brief Requests a drain from the core. Thread-safe and idempotent.
  void Drain();
  /// @brief Waits until the core has completed its drain, then closes the open
  /// connections.
  void WaitForExit();

  uint16_t caller_port() const;
  uint16_t operator_port() const;
  uint16_t peer_port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_SHELL_H_
