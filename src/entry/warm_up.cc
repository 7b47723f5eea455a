#include "coppervalve/entry/warm_up.h"

#include <algorithm>  // upper_bound

namespace coppervalve::entry {

namespace {

// A second by the slowest of the clocks that are compared.
constexpr core::Duration kSecond{1'050'000};

}  // namespace

void RecentSends::Add(core::TimePoint now) {
  while (!m_times.empty() && m_times.front() <= now - kSecond) {
    m_times.pop_front();
  }
  m_times.push_back(now);
}

size_t RecentSends::InLastSecond(core::TimePoint now) const {
  const auto first =
      std::upper_bound(m_times.begin(), m_times.end(), now - kSecond);
  return static_cast<size_t>(m_times.end() - first);
}

// A record of a start may come late, or not at all while the store is away. So
// every start that this router sees itself counts, whatever the record says.
bool IsCold(const WarmUpState& state,
            const WarmUp& warm_up,
            core::TimePoint now) {
  return state.may_have_restarted || now < state.said_until ||
         (state.began && now < *state.began + warm_up.lasts);
}

}  // namespace coppervalve::entry
