#ifndef COPPERVALVE_STANDINS_ENGINE_EXECUTION_RECORDS_H_
#define COPPERVALVE_STANDINS_ENGINE_EXECUTION_RECORDS_H_

#include <boost/json/array.hpp>
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/core/units.h"
#include "coppervalve/standin/record_file.h"

namespace coppervalve::standin {

/// @brief State of an execution.
enum class ExecutionState : uint8_t {
  kRunning,
  kDone,       ///< all tokens were produced
  kCancelled,  ///< the client disconnected
  kCut,        ///< a fault closed the connection
};

/// @brief One execution of a request. It is recorded from its start on, even if
/// the answer is never delivered.
struct Execution {
  std::string request_id;
  std::string key;
  std::string account;
  core::Tokens prompt;
  core::Tokens output;  ///< produced so far
  /// The complete answer, including its end, was passed to the connection.
  bool whole = false;
  uint64_t started_step = 0;
  uint64_t ended_step = 0;
  ExecutionState state = ExecutionState::kRunning;
};

/// @brief All executions since the process started, for the audit.
class ExecutionRecords {
 public:
  /// @param path JSON Lines file; when empty, none is written
  explicit ExecutionRecords(const std::string& path) : m_file(path) {}

  /// @return the index of the new record
  size_t Start(Execution execution);
  void CountToken(size_t index);
  void End(size_t index, ExecutionState state, bool whole, uint64_t step);

  /// @complexity linear in the number of executions
  boost::json::array ToJson() const;

 private:
  std::vector<Execution> m_executions;
  RecordFile m_file;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_ENGINE_EXECUTION_RECORDS_H_
