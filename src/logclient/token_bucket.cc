#include "coppervalve/logclient/token_bucket.h"

#include <algorithm>  // min
#include <chrono>     // duration

namespace coppervalve::logclient {

TokenBucket::TokenBucket(double rate, double burst)
    : m_rate(rate), m_burst(burst), m_tokens(burst) {}

bool TokenBucket::TryTake(core::TimePoint now) {
  Refill(now);
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

void TokenBucket::Refill(core::TimePoint now) {
  if (m_refilled && now > *m_refilled) {
    const std::chrono::duration<double> elapsed = now - *m_refilled;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
  }
  if (!m_refilled || now > *m_refilled) {
    m_refilled = now;
  }
}

}  // namespace coppervalve::logclient
