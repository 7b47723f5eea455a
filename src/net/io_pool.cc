#include "coppervalve/net/io_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>   // thread
#include <utility>  // move
#include <vector>   // vector

namespace coppervalve::net {

namespace {

struct Loop {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  std::thread thread;
};

}  // namespace

struct IoPool::Impl {
  std::vector<std::unique_ptr<Loop>> loops;
};

IoPool::IoPool(size_t threads) : m_impl(std::make_unique<Impl>()) {
  for (size_t i = 0; i < threads; ++i) {
    m_impl->loops.push_back(std::make_unique<Loop>());
  }
}

IoPool::~IoPool() {
  Stop();
}

size_t IoPool::size() const {
  return m_impl->loops.size();
}

boost::asio::io_context& IoPool::Context(size_t index) {
  return m_impl->loops[index]->context;
}

void IoPool::Post(size_t index, std::function<void()> task) {
  boost::asio::post(m_impl->loops[index]->context, std::move(task));
}

void IoPool::Start() {
  for (const auto& loop : m_impl->loops) {
    loop->thread = std::thread([raw = loop.get()] { raw->context.run(); });
  }
}

void IoPool::Stop() {
  for (const auto& loop : m_impl->loops) {
    loop->context.stop();
  }
  for (const auto& loop : m_impl->loops) {
    if (loop->thread.joinable()) {
      loop->thread.join();
    }
  }
}

void IoPool::RunRemainingTasks() {
  for (const auto& loop : m_impl->loops) {
    loop->context.restart();
    loop->context.poll();
  }
}

}  // namespace coppervalve::net
