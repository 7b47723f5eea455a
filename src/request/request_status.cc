#include <cstdint>  // uint64_t

#include "coppervalve/request/request_record.h"

namespace coppervalve::request {

namespace {

constexpr const char* StateName(Phase phase) {
  switch (phase) {
    case Phase::kWaitingClaim:
    case Phase::kQueued:
    case Phase::kReserved:
      return "queued";
    case Phase::kRunning:
    case Phase::kForwarded:
      return "running";
    case Phase::kDone:
      return "done";
    case Phase::kRefused:
      return "refused";
    case Phase::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

void DescribeTo(core::TimePoint now,
                const RequestRecord& record,
                v1::RequestStatus& status) {
  status.set_state(StateName(record.phase));
  status.set_run_state(std::string(core::RunStateName(RunStateOf(record))));
  status.set_upstream(record.upstream.value());
  if (record.error) {
    status.set_error(core::ErrorCode(*record.error));
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - record.arrived);
  status.set_age_ms(static_cast<uint64_t>(age.count()));
}

}  // namespace coppervalve::request
