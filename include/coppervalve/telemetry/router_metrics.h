#ifndef COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_
#define COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_

#include <memory>  // unique_ptr
#include <string>  // string

#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::telemetry {

/// @brief The metrics of a router, derived from what passes between its core
/// and its shell.
class RouterMetrics {
 public:
  RouterMetrics();
  RouterMetrics(const RouterMetrics&) = delete;
  RouterMetrics& operator=(const RouterMetrics&) = delete;
  ~RouterMetrics();

  /// @brief Both: on the control thread only, in order.
  void OnEvent(core::TimePoint now, const router::Event& event);
  void OnAction(core::TimePoint now, const router::Action& action);
  /// @brief A request that the shell refused; from any thread.
  void OnRejected(const core::Error& error);
  /// @brief The answer of /metrics; from any thread.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::telemetry

#endif  // COPPERVALVE_TELEMETRY_ROUTER_METRICS_H_
