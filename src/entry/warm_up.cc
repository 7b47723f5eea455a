#include "coppervalve/entry/warm_up.h"

#include <algorithm>  // upper_bound

namespace coppervalve::entry {

namespace {

// One second as measured by the slowest of the clocks involved.
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

// The record of a start may be late, or missing while the store is unavailable.
// So every start that this router observes counts, whatever the record states.
// An unreachable upstream counts as cold for as long as after a start only:
// otherwise routers that are not its senders would never send to it again and
// never learn that it recovered.
bool IsCold(const WarmUpState& state,
            const WarmUp& warm_up,
            core::TimePoint now) {
  const auto recent = [&](const std::optional<core::TimePoint>& event) {
    return event && now < *event + warm_up.duration;
  };
  return now < state.announced_until || recent(state.cold_since) ||
         recent(state.unreachable_at);
}

}  // namespace coppervalve::entry
