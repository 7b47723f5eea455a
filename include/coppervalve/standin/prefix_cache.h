#ifndef COPPERVALVE_STANDIN_PREFIX_CACHE_H_
#define COPPERVALVE_STANDIN_PREFIX_CACHE_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <list>           // list
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map

namespace coppervalve::standin {

/// @brief LRU cache of prompt prefixes.
class PrefixCache {
 public:
  /// @param capacity number of prefixes; 0 disables the cache
  explicit PrefixCache(size_t capacity) : m_capacity(capacity) {}

  /// @brief Looks up a prompt by its first 256 bytes and inserts it if absent.
  /// @return whether it was in the cache
  /// @complexity constant
  bool FindOrInsert(std::string_view prompt);

 private:
  size_t m_capacity;
  std::list<uint64_t> m_recent;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_index;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_PREFIX_CACHE_H_
