#ifndef COPPERVALVE_NET_IO_POOL_H_
#define COPPERVALVE_NET_IO_POOL_H_

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace coppervalve::net {

/// @brief The traffic threads, each with its own event loop. Objects that
/// belong to one thread need no lock.
class IoPool {
 public:
  explicit IoPool(size_t threads);
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;
  ~IoPool();

  size_t size() const;
  boost::asio::io_context& Context(size_t index);
  /// @brief Queues a task for one thread; tasks run in order. Thread-safe.
  void Post(size_t index, std::function<void()> task);
  void Start();
  /// @brief Stops the threads; queued tasks do not run.
  void Stop();
  /// @brief Runs the tasks that are still queued, on the calling thread.
  /// @pre stopped
  void RunRemainingTasks();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_IO_POOL_H_
