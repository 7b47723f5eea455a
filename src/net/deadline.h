#ifndef COPPERVALVE_SRC_NET_DEADLINE_H_
#define COPPERVALVE_SRC_NET_DEADLINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>      // milliseconds
#include <functional>  // function
#include <memory>      // shared_ptr

namespace coppervalve::net {

/// @brief Timeout for one step of a protocol exchange. Not thread-safe.
class Deadline {
 public:
  explicit Deadline(boost::asio::io_context& context);
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;
  ~Deadline();

  /// @brief Restarts the timer.
  /// @param on_expired called at the deadline and repeatedly after it, until
  /// Disarm() or Arm(); must own the objects that it uses
  void Arm(std::chrono::microseconds after, std::function<void()> on_expired);
  void Disarm();
  /// @return whether it expired since it was last armed
  bool expired() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_DEADLINE_H_
