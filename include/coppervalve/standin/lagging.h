#ifndef COPPERVALVE_STANDIN_LAGGING_H_
#define COPPERVALVE_STANDIN_LAGGING_H_

#include <deque>    // deque
#include <utility>  // move

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief A value whose changes become visible to readers after a delay.
template <typename T>
class Lagging {
 public:
  Lagging(core::Duration lag, T initial)
      : m_lag(lag), m_seen(std::move(initial)) {}

  void Set(core::TimePoint now, T value) {
    m_changes.push_back({now, std::move(value)});
    Advance(now);
  }

  /// @return the value as of `delay` ago
  /// @complexity linear in the changes since the last call, amortized constant
  const T& Get(core::TimePoint now) {
    Advance(now);
    return m_seen;
  }

 private:
  struct Change {
    core::TimePoint at;
    T value;
  };

  void Advance(core::TimePoint now) {
    while (!m_changes.empty() && m_changes.front().at + m_lag <= now) {
      m_seen = std::move(m_changes.front().value);
      m_changes.pop_front();
    }
  }

  core::Duration m_lag;
  T m_seen;
  std::deque<Change> m_changes;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_LAGGING_H_
