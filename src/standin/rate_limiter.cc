#include "coppervalve/standin/rate_limiter.h"

#include <chrono>  // seconds

namespace coppervalve::standin {

namespace {

constexpr core::Duration kWindow = std::chrono::seconds(1);

}  // namespace

bool RateLimiter::Admit(core::TimePoint now) {
  if (!m_window_start || now - *m_window_start >= kWindow) {
    m_window_start = now;
    m_in_window = 0;
  }
  if (m_per_second != 0 && m_in_window >= m_per_second) {
    return false;
  }
  ++m_in_window;
  return true;
}

}  // namespace coppervalve::standin
