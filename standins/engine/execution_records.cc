#include "standins/engine/execution_records.h"

#include <boost/json/object.hpp>
#include <utility>  // move

namespace coppervalve::standin {

namespace {

const char* StateName(ExecutionState state) {
  switch (state) {
    case ExecutionState::kRunning:
      return "running";
    case ExecutionState::kDone:
      return "done";
    case ExecutionState::kCancelled:
      return "cancelled";
    case ExecutionState::kCut:
      return "cut";
  }
  return "";
}

boost::json::object ToObject(const Execution& execution) {
  return {{"request_id", execution.request_id},
          {"key", execution.key},
          {"account", execution.account},
          {"prompt_tokens", execution.prompt.value()},
          {"output_tokens", execution.output.value()},
          {"whole", execution.whole},
          {"started_step", execution.started_step},
          {"ended_step", execution.ended_step},
          {"state", StateName(execution.state)}};
}

}  // namespace

size_t ExecutionRecords::Start(Execution execution) {
  m_file.Write(ToObject(execution));
  m_executions.push_back(std::move(execution));
  return m_executions.size() - 1;
}

void ExecutionRecords::CountToken(size_t index) {
  m_executions[index].output += core::Tokens(1);
}

void ExecutionRecords::End(size_t index,
                           ExecutionState state,
                           bool whole,
                           uint64_t step) {
  Execution& execution = m_executions[index];
  execution.state = state;
  execution.whole = whole;
  execution.ended_step = step;
  m_file.Write(ToObject(execution));
}

boost::json::array ExecutionRecords::ToJson() const {
  boost::json::array records;
  records.reserve(m_executions.size());
  for (const Execution& execution : m_executions) {
    records.emplace_back(ToObject(execution));
  }
  return records;
}

}  // namespace coppervalve::standin
