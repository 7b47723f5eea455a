#ifndef COPPERVALVE_ENTRY_RECENT_HASHES_H_
#define COPPERVALVE_ENTRY_RECENT_HASHES_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <deque>          // deque
#include <unordered_map>  // unordered_map
#include <utility>        // pair

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Hashes that were inserted recently; bounded in number.
class RecentHashes {
 public:
  /// @param lifetime time after which a hash is forgotten
  explicit RecentHashes(core::Duration lifetime) : m_lifetime(lifetime) {}

  /// @complexity amortized constant, like all members
  void Insert(uint64_t hash, core::TimePoint now);
  bool Contains(uint64_t hash, core::TimePoint now) const;

 private:
  core::Duration m_lifetime;
  std::unordered_map<uint64_t, core::TimePoint> m_last_use;
  std::deque<std::pair<core::TimePoint, uint64_t>> m_uses;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RECENT_HASHES_H_
