#ifndef COPPERVALVE_NET_CONTROL_LOOP_H_
#define COPPERVALVE_NET_CONTROL_LOOP_H_

#include <functional>  // function
#include <memory>      // unique_ptr
#include <vector>      // vector

#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief The decision core as the shell sees it. Only the control thread calls
/// it.
using Handler =
    std::function<std::vector<router::Action>(core::TimePoint,
                                              const router::Event&)>;
/// @brief Takes an event from any thread.
using EventSink = std::function<void(router::Event)>;
/// @brief Takes the core's actions on the control thread, in order.
using ActionSink = std::function<void(router::Action)>;

/// @brief The control thread: feeds events and ticks to the handler, one at a
/// time.
class ControlLoop {
 public:
  ControlLoop(Handler handler, ActionSink sink);
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop();

  void Start();
  /// @brief Queues an event; from any thread.
  void Post(router::Event event);
  /// @brief Ends the control thread; events still queued are dropped.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CONTROL_LOOP_H_
