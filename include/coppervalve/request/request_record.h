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

/// @brief State of a request.
enum class Phase : uint8_t {
  kWaitingClaim,  ///< the KeyClaimed record is not yet applied
  kQueued,        ///< admitted, not sent to an upstream
  kReserved,      ///< tokens reserved for an attempt, not dispatched
  kRunning,       ///< sent to an upstream
  kForwarded,     ///< relayed to another router
  kDone,          ///< answered completely
  kRefused,       ///< provably not run
  kFailed,        ///< sent, no complete answer: outcome unknown
};

/// @return whether the phase is final
constexpr bool IsFinal(Phase phase) {
  return phase == Phase::kDone || phase == Phase::kRefused ||
         phase == Phase::kFailed;
}

/// @brief The record of one request at this incarnation.
struct RequestRecord {
  core::RequestId id;
  core::AccountId account;
  std::optional<core::Hash128> key;  ///< identity of the key; none without one
  core::Hash128 body_hash;
  Phase phase = Phase::kQueued;
  bool non_idempotent = false;
  bool forwarded = false;         ///< received from a peer: not forwarded again
  bool exclusive_target = false;  ///< only the target of the forward may run it
  /// An earlier run under this key, on any router, cannot be ruled out.
  bool may_have_run = false;
  bool caller_disconnected = false;
  v1::AdmissionClass admission_class = v1::ADMISSION_CLASS_UNSPECIFIED;
  uint32_t attempts = 0;
  uint32_t sent_attempts = 0;  ///< minus those that provably did not run
  core::UpstreamId upstream;   ///< of the latest attempt
  core::TimePoint arrived;
  core::TimePoint changed;                 ///< when the phase was entered
  std::optional<core::RequestId> leader;   ///< set for a joiner
  std::vector<core::RequestId> joiners;    ///< set for a leader
  std::optional<core::ErrorId> error;      ///< why it was refused or failed
  std::optional<core::Bytes> kept_answer;  ///< size, while the shell keeps it
};

/// @return whether the request ran, as far as the record shows
core::RunState RunStateOf(const RequestRecord& record);

/// @return whether the record must be kept to prevent a second run: keyed,
/// non-idempotent and admitted here
bool IsTombstone(const RequestRecord& record);

/// @brief Fills in the status of a known request.
void DescribeTo(core::TimePoint now,
                const RequestRecord& record,
                v1::RequestStatus& status);

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_REQUEST_RECORD_H_
