#ifndef COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_
#define COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_

#include <memory>  // unique_ptr
#include <string>  // string

#include "coppervalve/core/connection_ledger.h"
#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::telemetry {

/// @brief The metrics of a router, derived from the events and actions
/// exchanged between its core and its shell.
class RouterMetrics {
 public:
  RouterMetrics();
  RouterMetrics(const RouterMetrics&) = delete;
  RouterMetrics& operator=(const RouterMetrics&) = delete;
  ~RouterMetrics();

  /// @brief OnEvent() and OnAction() must be called in order, on the control
  /// thread only.
  void OnEvent(core::TimePoint now, const router::Event& event);
  void OnAction(core::TimePoint now, const router::Action& action);
  /// @brief Counts a request that the shell rejected. Thread-safe.
  void OnRejected(const core::Error& error);
  /// @brief Counts a connection that was ended by a limit. Thread-safe.
  void OnConnectionEnded(core::ConnectionLimit limit);
  /// @brief Returns the body of the /metrics response. Thread-safe.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::telemetry

#endif  // COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_
