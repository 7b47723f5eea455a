#include "coppervalve/routing/retry_budget.h"

#include <algorithm>  // min

namespace coppervalve::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RetryBudget::OnRequest() {
  m_tokens = std::min(m_tokens + m_options.ratio, m_options.capacity);
}

bool RetryBudget::CanSpend(core::TimePoint now) {
  Advance(now);
  return m_tokens >= 1;
}

void RetryBudget::Spend() {
  m_tokens -= 1;
}

void RetryBudget::Advance(core::TimePoint now) {
  if (m_started) {
    const double seconds =
        static_cast<double>((now - m_last).count()) / kMicrosPerSecond;
    m_tokens =
        std::min(m_tokens + seconds * m_options.per_second, m_options.capacity);
  }
  m_started = true;
  m_last = now;
}

}  // namespace coppervalve::routing
