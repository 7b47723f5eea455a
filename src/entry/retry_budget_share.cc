#include "coppervalve/entry/retry_budget_share.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// Safety margin: the clocks of the routers and of the process that checks the
// bound differ, and changes in the number of routers are noticed late.
constexpr double kSafetyFactor = 0.8;

void DropBefore(std::deque<core::TimePoint>& times, core::TimePoint start) {
  while (!times.empty() && times.front() < start) {
    times.pop_front();
  }
}

}  // namespace

RetryBudgetShare::Window& RetryBudgetShare::Current(
    const core::ServiceId& service,
    core::TimePoint now) {
  Window& window = m_windows[service];
  DropBefore(window.requests, now - m_bounds.window);
  DropBefore(window.retries, now - m_bounds.window);
  return window;
}

void RetryBudgetShare::OnRequest(const core::ServiceId& service,
                                 core::TimePoint now) {
  Current(service, now).requests.push_back(now);
}

bool RetryBudgetShare::Take(const core::ServiceId& service,
                            uint32_t routers,
                            core::TimePoint now) {
  Window& window = Current(service, now);
  const double earned =
      m_bounds.ratio * static_cast<double>(window.requests.size());
  const double slack = m_bounds.slack / std::max(routers, 1U);
  const auto used = static_cast<double>(window.retries.size());
  if (used + 1 > kSafetyFactor * (earned + slack)) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace coppervalve::entry
