#ifndef COPPERVALVE_SRC_NET_ACTION_ROUTER_H_
#define COPPERVALVE_SRC_NET_ACTION_ROUTER_H_

#include <functional>  // function
#include <memory>      // unique_ptr
#include <vector>      // vector

#include "coppervalve/net/control_loop.h"
#include "coppervalve/net/io_pool.h"
#include "coppervalve/net/peer_client.h"
#include "coppervalve/router/events.h"
#include "log_transport.h"
#include "platform_client.h"
#include "traffic_worker.h"

namespace coppervalve::net {

/// @brief The components that execute actions; must outlive the router.
struct ActionTargets {
  IoPool* pool = nullptr;
  std::vector<std::unique_ptr<TrafficWorker>>* workers = nullptr;
  LogTransport* log = nullptr;         ///< used on the platform thread
  PlatformClient* platform = nullptr;  ///< used on the platform thread
  PeerClient* peers = nullptr;         ///< null without a peer link
  AnswerStore* answers = nullptr;
  EventSink report;
  std::function<void(const router::LogLine&)> log_line;
  std::function<void()> exit;
};

/// The traffic thread that also communicates with the platform.
inline constexpr size_t kPlatformThread = 0;

/// @brief Passes each action to the thread that owns its object. Actions on one
/// request are executed in the order of the calls.
class ActionRouter {
 public:
  explicit ActionRouter(ActionTargets targets);

  /// @brief Called on the control thread.
  void Execute(router::Action action) const;

 private:
  ActionTargets m_targets;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_ACTION_ROUTER_H_
