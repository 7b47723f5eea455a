#ifndef COPPERVALVE_LEDGER_DETAIL_DEDUP_WINDOW_H_
#define COPPERVALVE_LEDGER_DETAIL_DEDUP_WINDOW_H_

#include <cstdint>        // uint64_t
#include <deque>          // deque
#include <unordered_map>  // unordered_map
#include <utility>        // move

#include "coppervalve/core/ids.h"

namespace coppervalve::ledger::detail {

/// @brief Stores keys for a window of log offsets, to detect duplicates.
template <typename Key, typename Value>
class DedupWindow {
 public:
  struct Entry {
    core::LogOffset offset;
    Key key;
  };

  /// @return null when the key is not stored
  const Value* Find(const Key& key) const {
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second;
  }

  /// @brief Inserts a key. Offsets must not decrease from call to call.
  /// @return false, without change, when the key is already present
  bool Insert(core::LogOffset offset, const Key& key, Value value) {
    if (!m_values.emplace(key, std::move(value)).second) {
      return false;
    }
    m_entries.push_back({offset, key});
    return true;
  }

  /// @brief Removes keys whose offset is more than `window` below `offset`.
  /// @complexity amortized constant per inserted key
  void Prune(core::LogOffset offset, uint64_t window) {
    while (!m_entries.empty() &&
           offset.value() - m_entries.front().offset.value() > window) {
      m_values.erase(m_entries.front().key);
      m_entries.pop_front();
    }
  }

  /// @brief The stored keys in log order.
  const std::deque<Entry>& entries() const { return m_entries; }

 private:
  std::unordered_map<Key, Value> m_values;
  std::deque<Entry> m_entries;
};

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_DEDUP_WINDOW_H_
