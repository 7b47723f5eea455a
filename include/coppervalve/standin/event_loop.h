#ifndef COPPERVALVE_STANDIN_EVENT_LOOP_H_
#define COPPERVALVE_STANDIN_EVENT_LOOP_H_

#include <functional>  // function
#include <memory>      // unique_ptr

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief The one thread of a stand-in: sockets, timers and all handlers run on
/// it, so that handlers need no locks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @return the steady clock of the loop
  core::TimePoint now() const;
  /// @brief Runs the task after the delay.
  void After(core::Duration delay, std::function<void()> task);
  /// @brief Runs the loop until SIGTERM or SIGINT.
  void RunUntilTerminated();
  /// @brief Runs the loop for this long; for tests.
  void RunFor(core::Duration time);

  /// The Asio context, for the sources of this library only.
  struct Context;
  Context& context() { return *m_context; }

 private:
  std::unique_ptr<Context> m_context;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_EVENT_LOOP_H_
