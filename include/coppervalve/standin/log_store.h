#ifndef COPPERVALVE_STANDIN_LOG_STORE_H_
#define COPPERVALVE_STANDIN_LOG_STORE_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <string>   // string

#include "coppervalve/core/ids.h"
#include "coppervalve/platform.pb.h"

namespace coppervalve::standin {

/// @brief An append-only log in memory that keeps its newest entries.
class LogStore {
 public:
  /// @param retain_entries number of entries kept; 0 keeps all
  explicit LogStore(size_t retain_entries) : m_retain(retain_entries) {}

  /// @return the offset of the new entry
  core::LogOffset Append(std::string entry);

  /// @brief Reads entries from an offset on, up to `max_bytes` but at least one
  /// entry if there is one. Returns no entries when `from` is no longer
  /// retained.
  /// @complexity linear in the size of the reply
  v1::ReadReply Read(core::LogOffset from, size_t max_bytes) const;

  core::LogOffset first_retained() const { return m_first; }
  core::LogOffset end() const {
    return core::LogOffset(m_first.value() + m_entries.size());
  }

 private:
  size_t m_retain;
  core::LogOffset m_first;
  std::deque<std::string> m_entries;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_LOG_STORE_H_
