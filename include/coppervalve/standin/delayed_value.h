#ifndef COPPERVALVE_STANDIN_DELAYED_VALUE_H_
#define COPPERVALVE_STANDIN_DELAYED_VALUE_H_

#include <deque>    // deque
#include <utility>  // move

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief A value whose changes become visible to readers after a delay.
template <typename T>
class DelayedValue {
 public:
  DelayedValue(core::Duration delay, T initial)
      : m_delay(delay), m_visible(std::move(initial)) {}

  void Set(core::TimePoint now, T value) {
    m_changes.push_back({now, std::move(value)});
    Advance(now);
  }

  /// @return the value as of `delay` ago
  /// @complexity linear in the changes since the last call, amortized constant
  const T& Get(core::TimePoint now) {
    Advance(now);
    return m_visible;
  }

 private:
  struct Change {
    core::TimePoint at;
    T value;
  };

  void Advance(core::TimePoint now) {
    while (!m_changes.empty() && m_changes.front().at + m_delay <= now) {
      m_visible = std::move(m_changes.front().value);
      m_changes.pop_front();
    }
  }

  core::Duration m_delay;
  T m_visible;
  std::deque<Change> m_changes;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_DELAYED_VALUE_H_
