#ifndef COPPERVALVE_TRIAL_FAKE_LOG_H_
#define COPPERVALVE_TRIAL_FAKE_LOG_H_

#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <string>   // string

#include "coppervalve/core/ids.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::trial {

/// @brief The platform's log in memory, with limited retention.
class FakeLog {
 public:
  /// @param retain entries that are kept; 0 keeps all
  explicit FakeLog(uint64_t retain = 0) : m_retain(retain) {}

  core::LogOffset Append(std::string entry);
  /// @brief Appends a record as an operator that has read the log to its end.
  core::LogOffset AppendAsOperator(const std::string& name, v1::Record record);
  v1::ReadReply Read(core::LogOffset from) const;

  core::LogOffset end() const;
  uint64_t appends() const { return m_appends; }
  uint64_t bytes() const { return m_bytes; }

 private:
  uint64_t m_retain;
  uint64_t m_first = 0;
  std::deque<std::string> m_entries;
  uint64_t m_appends = 0;
  uint64_t m_bytes = 0;
  uint64_t m_operator_entries = 0;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_FAKE_LOG_H_
