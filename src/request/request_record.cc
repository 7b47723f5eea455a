#include "coppervalve/request/request_record.h"

namespace coppervalve::request {

core::RunState RunStateOf(const RequestRecord& record) {
  if (record.phase == Phase::kDone) {
    return core::RunState::kRan;
  }
  const bool uncertain = record.sent_attempts > 0 || record.may_have_run ||
                         record.phase == Phase::kFailed ||
                         record.phase == Phase::kForwarded;
  return uncertain ? core::RunState::kUnknown : core::RunState::kNotRun;
}

bool IsTombstone(const RequestRecord& record) {
  if (!record.key || !record.non_idempotent || record.leader) {
    return false;
  }
  return record.phase != Phase::kForwarded && record.phase != Phase::kRefused;
}

}  // namespace coppervalve::request
