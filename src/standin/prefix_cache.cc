#include "coppervalve/standin/prefix_cache.h"

#include "coppervalve/core/hash.h"

namespace coppervalve::standin {

namespace {

constexpr size_t kPrefixBytes = 256;

}  // namespace

bool PrefixCache::FindOrInsert(std::string_view prompt) {
  if (m_capacity == 0) {
    return false;
  }
  const uint64_t hash = core::Hash64(prompt.substr(0, kPrefixBytes));
  const auto found = m_index.find(hash);
  if (found != m_index.end()) {
    m_recent.splice(m_recent.begin(), m_recent, found->second);
    return true;
  }
  m_recent.push_front(hash);
  m_index.emplace(hash, m_recent.begin());
  if (m_recent.size() > m_capacity) {
    m_index.erase(m_recent.back());
    m_recent.pop_back();
  }
  return false;
}

}  // namespace coppervalve::standin
