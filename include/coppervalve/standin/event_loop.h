#ifndef COPPERVALVE_STANDIN_EVENT_LOOP_H_
#define COPPERVALVE_STANDIN_EVENT_LOOP_H_

#include <functional>  // function
#include <memory>      // unique_ptr

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief Event loop of a stand-in. Sockets, timers and handlers all run on its
/// single thread, so handlers need no locks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @return the current time of the steady clock
  core::TimePoint now() const;
  /// @brief Runs the task after the delay.
  void After(core::Duration delay, std::function<void()> task);
  /// @brief Runs the loop until SIGTERM or SIGINT.
  void RunUntilTerminated();
  /// @brief Runs the loop for the given time; for tests.
  void RunFor(core::Duration time);

  /// The Asio context, for use within this library only.
  struct Context;
  Context& context() { return *m_context; }

 private:
  std::unique_ptr<Context> m_context;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_EVENT_LOOP_H_
