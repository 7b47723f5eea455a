#ifndef COPPERVALVE_ENTRY_RECENT_PREFIXES_H_
#define COPPERVALVE_ENTRY_RECENT_PREFIXES_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <deque>          // deque
#include <unordered_map>  // unordered_map
#include <utility>        // pair

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The shared prompt prefixes that this router recently sent to one
/// upstream and that are therefore probably still in its cache.
class RecentPrefixes {
 public:
  /// @complexity amortized constant, like all members
  void Insert(uint64_t prefix, core::TimePoint now);
  bool Contains(uint64_t prefix, core::TimePoint now) const;

 private:
  std::unordered_map<uint64_t, core::TimePoint> m_last_use;
  std::deque<std::pair<core::TimePoint, uint64_t>> m_uses;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RECENT_PREFIXES_H_
