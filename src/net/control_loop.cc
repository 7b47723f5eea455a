#include "coppervalve/net/control_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>   // milliseconds
#include <thread>   // thread
#include <utility>  // move

#include "coppervalve/net/clock.h"

namespace coppervalve::net {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};

}  // namespace

struct ControlLoop::Impl {
  Impl(Handler a_handler, ActionSink a_sink)
      : handler(std::move(a_handler)), sink(std::move(a_sink)) {}

  void Handle(const router::Event& event) {
    for (router::Action& action : handler(BootNow(), event)) {
      sink(std::move(action));
    }
  }

  void ScheduleTick() {
    timer.expires_after(kTickInterval);
    timer.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      Handle(router::Tick{});
      ScheduleTick();
    });
  }

  Handler handler;
  ActionSink sink;
  boost::asio::io_context context{1};
  boost::asio::steady_timer timer{context};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  std::thread thread;
};

ControlLoop::ControlLoop(Handler handler, ActionSink sink)
    : m_impl(std::make_unique<Impl>(std::move(handler), std::move(sink))) {}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Start() {
  m_impl->ScheduleTick();
  m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void ControlLoop::Post(router::Event event) {
  boost::asio::post(m_impl->context, [this, event = std::move(event)] {
    m_impl->Handle(event);
  });
}

void ControlLoop::Stop() {
  m_impl->context.stop();
  if (m_impl->thread.joinable()) {
    m_impl->thread.join();
  }
}

}  // namespace coppervalve::net
