#include "coppervalve/entry/recent_hashes.h"

namespace coppervalve::entry {

namespace {

constexpr size_t kMaxUses = 4'096;

}  // namespace

void RecentHashes::Insert(uint64_t hash, core::TimePoint now) {
  m_last_use[hash] = now;
  m_uses.emplace_back(now, hash);
  while (m_uses.size() > kMaxUses || now - m_uses.front().first > m_lifetime) {
    const auto [when, old] = m_uses.front();
    m_uses.pop_front();
    const auto found = m_last_use.find(old);
    if (found != m_last_use.end() && found->second == when) {
      m_last_use.erase(found);
    }
  }
}

bool RecentHashes::Contains(uint64_t hash, core::TimePoint now) const {
  const auto found = m_last_use.find(hash);
  return found != m_last_use.end() && now - found->second <= m_lifetime;
}

}  // namespace coppervalve::entry
