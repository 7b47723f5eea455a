#include "coppervalve/trial/timeline.h"

#include <utility>  // move

namespace coppervalve::trial {

void Timeline::After(core::Duration delay, std::function<void()> action) {
  m_actions.emplace(std::pair{m_now + delay, ++m_last}, std::move(action));
}

void Timeline::RunUntil(core::TimePoint end) {
  while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
    auto next = m_actions.extract(m_actions.begin());
    m_now = next.key().first;
    next.mapped()();
  }
  m_now = end;
}

}  // namespace coppervalve::trial
