#include "deadline.h"

#include <cstdint>  // uint64_t
#include <utility>  // move

namespace coppervalve::net {

namespace {

constexpr std::chrono::milliseconds kRepeatInterval{20};
/// A timer that fires at least this late shows that the process was paused.
constexpr std::chrono::milliseconds kPauseThreshold{250};
constexpr std::chrono::milliseconds kGraceAfterPause{1000};

}  // namespace

struct Deadline::State : std::enable_shared_from_this<Deadline::State> {
  explicit State(boost::asio::io_context& context) : timer(context) {}

  void Wait(std::chrono::microseconds after) {
    timer.expires_after(after);
    timer.async_wait([self = shared_from_this(), armed = generation](
                         const boost::system::error_code& error) {
      // A timer that has already expired cannot be cancelled; the generation
      // identifies a callback of an earlier step.
      if (error || armed != self->generation) {
        return;
      }
      // If the process was paused past its deadlines, complete answers that
      // wait in the sockets would be truncated. Within the grace period the
      // loop reads every ready socket, and each read rearms its deadline; a
      // peer that is really silent is detected slightly later.
      const auto late = std::chrono::steady_clock::now() - self->timer.expiry();
      if (!self->expired && late > kPauseThreshold) {
        self->Wait(kGraceAfterPause);
        return;
      }
      self->expired = true;
      // Cancelling a composed read between two of its own reads has no effect,
      // so the cancellation is repeated until the step has ended.
      self->Wait(kRepeatInterval);
      const std::function<void()> action = self->on_expired;
      action();
    });
  }

  boost::asio::steady_timer timer;
  uint64_t generation = 0;
  bool expired = false;
  std::function<void()> on_expired;
};

Deadline::Deadline(boost::asio::io_context& context)
    : m_state(std::make_shared<State>(context)) {}

Deadline::~Deadline() {
  Disarm();
}

void Deadline::Arm(std::chrono::microseconds after,
                   std::function<void()> on_expired) {
  ++m_state->generation;
  m_state->expired = false;
  m_state->on_expired = std::move(on_expired);
  m_state->Wait(after);
}

void Deadline::Disarm() {
  ++m_state->generation;
  m_state->on_expired = nullptr;
  m_state->timer.cancel();
}

bool Deadline::expired() const {
  return m_state->expired;
}

}  // namespace coppervalve::net
