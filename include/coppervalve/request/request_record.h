#ifndef COPPERVALVE_REQUEST_REQUEST_RECORD_H_
#define COPPERVALVE_REQUEST_REQUEST_RECORD_H_

#include <cstdint>   // uint32_t, uint8_t
#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/operator.pb.h"

namespace coppervalve::request {

/// @brief Where a request stands.
enum class Phase : uint8_t {
  kWaitingClaim,  ///< KeyClaimed is on its way through the log
  kQueued,        ///< admitted, nothing given to an upstream
  kReserved,      ///< tokens reserved for an attempt, not dispatched
  kRunning,       ///< past the point of no return
  kForwarded,     ///< another router has it; its answer is relayed
  kDone,          ///< whole answer
  kRefused,       ///< provably not run
  kFailed,        ///< sent, no whole answer: the outcome is unknown
};

/// @return whether the phase is final
constexpr bool IsFinal(Phase phase) {
  return phase == Phase::kDone || phase == Phase::kRefused ||
         phase == Phase::kFailed;
}

/// @brief One request as this incarnation knows it.
struct RequestRecord {
  core::RequestId id;
  core::AccountId account;
  std::optional<core::Hash128> key;  ///< identity of the key; none without one
  core::Hash128 body_hash;
  Phase phase = Phase::kQueued;
  bool non_idempotent = false;
  bool forwarded = false;   ///< a peer sent it here: it is never sent on
  bool only_there = false;  ///< forwarded to the one place that may run it
  /// An earlier run under this key, here or elsewhere, cannot be ruled out.
  bool may_have_run = false;
  bool caller_gone = false;
  v1::AdmissionClass admission_class = v1::ADMISSION_CLASS_UNSPECIFIED;
  uint32_t attempts = 0;
  uint32_t sent_attempts = 0;  ///< less those that provably did not run
  core::UpstreamId upstream;   ///< of the latest attempt
  core::TimePoint arrived;
  core::TimePoint changed;                 ///< when the phase was entered
  std::optional<core::RequestId> leader;   ///< set for a joiner
  std::vector<core::RequestId> joiners;    ///< set for a leader
  std::optional<core::ErrorId> error;      ///< why it was refused or failed
  std::optional<core::Bytes> kept_answer;  ///< the shell still has the answer
};

/// @return what can truthfully be said about whether the request ran
core::RunState RunStateOf(const RequestRecord& record);

/// @return whether the record must be kept so that the request never runs a
/// second time: keyed, non-idempotent, and admitted here
bool IsTombstone(const RequestRecord& record);

/// @brief Fills in what a status lookup says of a known request.
void DescribeTo(core::TimePoint now,
                const RequestRecord& record,
                v1::RequestStatus& status);

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_REQUEST_RECORD_H_
