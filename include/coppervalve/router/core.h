#ifndef COPPERVALVE_ROUTER_CORE_H_
#define COPPERVALVE_ROUTER_CORE_H_

#include <cstdint>   // uint64_t
#include <memory>    // unique_ptr
#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/router/events.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::ledger {
class Fold;
}  // namespace coppervalve::ledger

namespace coppervalve::budget {
class HoldingManager;
}  // namespace coppervalve::budget

namespace coppervalve::router::detail {
struct Predecessor;
}  // namespace coppervalve::router::detail

namespace coppervalve::router {

/// @brief Decision logic of one router: `(now, event) -> actions`.
///
/// It has no socket, thread, clock or random source of its own. It is not
/// thread-safe, and time must not go back. If the log retires the router while
/// it is paused or partitioned, the router finishes the requests in progress,
/// reports its final spend and joins again as a new incarnation.
class RouterCore {
 public:
  RouterCore(RouterSettings settings, RouterHooks hooks);
  ~RouterCore();
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  /// @brief Handles one event.
  /// @return the actions for the shell, in order
  /// @complexity that of the libraries involved; no scan over all budgets
  std::vector<Action> Handle(core::TimePoint now, const Event& event);

  /// @return whether new work is accepted (GET /readyz)
  bool Ready() const;
  core::Incarnation incarnation() const;
  /// @brief The answer of GET /admin/status.
  v1::RouterStatus Status(core::TimePoint now) const;

  /// @brief Read access for audits in tests and benchmarks.
  const ledger::Fold& fold() const;
  const budget::HoldingManager& holding_manager() const;

 private:
  struct Session;

  void Start(std::optional<detail::Predecessor> predecessor);
  void RestartIfEnded();
  void CountReply(const Event& event);

  RouterSettings m_settings;
  RouterHooks m_hooks;
  std::unique_ptr<Session> m_session;
  uint64_t m_open_log_calls = 0;  ///< reads and appends not yet answered
};

}  // namespace coppervalve::router

#endif  // COPPERVALVE_ROUTER_CORE_H_
