#include "coppervalve/entry/prefix_memory.h"

namespace coppervalve::entry {

namespace {

// Engines evict the least recently used prefix; after this time caching can't
// be assumed.
constexpr core::Duration kKeptFor{60'000'000};
constexpr size_t kMostUses = 4'096;

}  // namespace

void PrefixMemory::Remember(uint64_t prefix, core::TimePoint now) {
  m_last_use[prefix] = now;
  m_uses.emplace_back(now, prefix);
  while (m_uses.size() > kMostUses || now - m_uses.front().first > kKeptFor) {
    const auto [when, old] = m_uses.front();
    m_uses.pop_front();
    const auto found = m_last_use.find(old);
    if (found != m_last_use.end() && found->second == when) {
      m_last_use.erase(found);
    }
  }
}

bool PrefixMemory::Holds(uint64_t prefix, core::TimePoint now) const {
  const auto found = m_last_use.find(prefix);
  return found != m_last_use.end() && now - found->second <= kKeptFor;
}

}  // namespace coppervalve::entry
