#ifndef COPPERVALVE_TRIAL_RECORDS_H_
#define COPPERVALVE_TRIAL_RECORDS_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint8_t, uint64_t
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/config.pb.h"
#include "coppervalve/core/error.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::trial {

/// @brief A request of a caller, with the actual token counts that no router
/// knows in advance.
struct ClientRequest {
  core::AccountId account;
  core::BudgetId budget;
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  bool non_idempotent = false;
  std::string model;    ///< empty for a plain service
  std::string service;  ///< empty for model work
  core::Bytes body_size;
  core::Tokens prompt;      ///< what the engine will count
  core::Tokens max_output;  ///< requested
  core::Tokens output;      ///< what the engine will generate
  core::Duration duration{};
  std::string key;  ///< empty: none

  /// @return the cost at a price of one budget token per token
  core::Tokens Cost() const { return prompt + output; }
};

/// @brief A run at an upstream, as recorded by the upstream.
struct Execution {
  size_t client_request = 0;
  size_t client_attempt = 0;
  core::Tokens used;
  bool complete = false;
};

/// @brief One attempt of a client request at one router, as the caller sees it.
struct ClientAttempt {
  enum class State : uint8_t { kOpen, kComplete, kRefused, kDisconnected };

  size_t client_request = 0;
  size_t node = 0;
  State state = State::kOpen;
  std::optional<core::ErrorId> error;
  core::RunState run_state = core::RunState::kUnknown;
  std::optional<core::Duration> retry_after;
  size_t answered_request =
      0;  ///< the request that was answered; with kComplete
  core::TimePoint opened;
  core::TimePoint ended;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_RECORDS_H_
