#include "coppervalve/standin/event_loop.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>   // duration_cast, steady_clock
#include <csignal>  // SIGINT, SIGTERM
#include <memory>   // make_shared, make_unique
#include <utility>  // move

#include "event_loop_context.h"

namespace coppervalve::standin {

namespace asio = boost::asio;

EventLoop::EventLoop() : m_context(std::make_unique<Context>()) {}

EventLoop::~EventLoop() = default;

core::TimePoint EventLoop::now() const {
  return core::TimePoint(std::chrono::duration_cast<core::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void EventLoop::After(core::Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(m_context->io, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& error) {
        if (!error) {
          task();
        }
      });
}

void EventLoop::RunUntilTerminated() {
  asio::signal_set signals(m_context->io, SIGTERM, SIGINT);
  signals.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) {
      m_context->io.stop();
    }
  });
  m_context->io.run();
}

void EventLoop::RunFor(core::Duration time) {
  m_context->io.run_for(time);
}

}  // namespace coppervalve::standin
