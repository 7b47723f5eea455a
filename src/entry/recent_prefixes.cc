#include "coppervalve/entry/recent_prefixes.h"

namespace coppervalve::entry {

namespace {

// Engines evict the least recently used prefix; after this time caching can't
// be assumed.
constexpr core::Duration kCachedFor{60'000'000};
constexpr size_t kMaxUses = 4'096;

}  // namespace

void RecentPrefixes::Insert(uint64_t prefix, core::TimePoint now) {
  m_last_use[prefix] = now;
  m_uses.emplace_back(now, prefix);
  while (m_uses.size() > kMaxUses || now - m_uses.front().first > kCachedFor) {
    const auto [when, old] = m_uses.front();
    m_uses.pop_front();
    const auto found = m_last_use.find(old);
    if (found != m_last_use.end() && found->second == when) {
      m_last_use.erase(found);
    }
  }
}

bool RecentPrefixes::Contains(uint64_t prefix, core::TimePoint now) const {
  const auto found = m_last_use.find(prefix);
  return found != m_last_use.end() && now - found->second <= kCachedFor;
}

}  // namespace coppervalve::entry
