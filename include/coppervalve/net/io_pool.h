#ifndef COPPERVALVE_NET_IO_POOL_H_
#define COPPERVALVE_NET_IO_POOL_H_

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace coppervalve::net {

/// @brief The traffic threads, each with an event loop of its own: whatever
/// belongs to one of them needs no lock.
class IoPool {
 public:
  explicit IoPool(size_t threads);
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;
  ~IoPool();

  size_t size() const;
  boost::asio::io_context& Context(size_t index);
  /// @brief Queues a task for one thread; from any thread, in order.
  void Post(size_t index, std::function<void()> task);
  void Start();
  /// @brief Ends the threads; tasks still queued are dropped.
  void Stop();
  /// @brief Runs the tasks that were left or queued since. @pre stopped
  void Settle();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_IO_POOL_H_
