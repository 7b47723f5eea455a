#ifndef COPPERVALVE_NET_CONTROL_LOOP_H_
#define COPPERVALVE_NET_CONTROL_LOOP_H_

#include <functional>  // function
#include <memory>      // unique_ptr
#include <vector>      // vector

#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief Interface of the decision core. Called only on the control thread.
using Handler =
    std::function<std::vector<router::Action>(core::TimePoint,
                                              const router::Event&)>;
/// @brief Accepts an event. Thread-safe.
using EventSink = std::function<void(router::Event)>;
/// @brief Receives the core's actions in order, on the control thread.
using ActionSink = std::function<void(router::Action)>;

/// @brief Runs the control thread, which passes events and ticks to the handler
/// one at a time.
class ControlLoop {
 public:
  ControlLoop(Handler handler, ActionSink sink);
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop();

  void Start();
  /// @brief Queues an event. Thread-safe.
  void Post(router::Event event);
  /// @brief Stops the control thread; queued events are dropped.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CONTROL_LOOP_H_
