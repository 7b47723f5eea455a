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
// One that can't be reached counts for as long as a start: routers that are not
// its senders would else never send to it again, and never learn that it is
// well.
bool IsCold(const WarmUpState& state,
            const WarmUp& warm_up,
            core::TimePoint now) {
  const auto lately = [&](const std::optional<core::TimePoint>& event) {
    return event && now < *event + warm_up.lasts;
  };
  return now < state.said_until || lately(state.began) ||
         lately(state.unreachable_at);
}

}  // namespace coppervalve::entry
