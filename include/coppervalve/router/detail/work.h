#ifndef COPPERVALVE_ROUTER_DETAIL_WORK_H_
#define COPPERVALVE_ROUTER_DETAIL_WORK_H_

#include <cstdint>   // uint32_t, uint64_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/budget/holding_manager.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/admission_queue.h"
#include "coppervalve/routing/upstream_table.h"
#include "coppervalve/rules/decision.h"

namespace coppervalve::router::detail {

/// @brief State of a request that this router runs.
enum class Stage : uint8_t {
  kClaim,      ///< waits for its claim in the log
  kTokens,     ///< waits for tokens of its budget
  kQueue,      ///< has a reservation, waits for an upstream
  kAttempt,    ///< an attempt is in progress
  kBackoff,    ///< backs off before the next attempt
  kForwarded,  ///< relayed to another router
};

/// @brief One request that this router runs or relays.
struct Work {
  core::RequestId id;
  core::AccountId account;
  core::BudgetId budget;
  std::optional<core::Hash128> key;  ///< identity of its key
  rules::Route route;
  routing::WorkTarget target;
  uint64_t affinity = 0;  ///< hash of the prompt prefix
  core::Tokens prompt_bound;
  core::Tokens max_output;
  core::TimePoint arrived;
  core::TimePoint start_by;

  Stage stage = Stage::kTokens;
  std::optional<budget::Reservation> reservation;
  core::AttemptId attempt;
  core::UpstreamId upstream;
  core::TimePoint dispatched;
  bool first_token_seen = false;
  uint32_t attempts = 0;
  std::vector<core::UpstreamId> tried;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_WORK_H_
