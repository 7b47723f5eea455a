#ifndef COPPERVALVE_REQUEST_VERDICT_H_
#define COPPERVALVE_REQUEST_VERDICT_H_

#include <cstdint>   // uint8_t
#include <optional>  // optional
#include <string>    // string
#include <variant>   // variant

#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/request/key_name.h"

namespace coppervalve::request {

/// @brief State of an incarnation, as seen by this router.
enum class PeerState : uint8_t {
  kReachable,    ///< live, answers heartbeats or is not suspected
  kUnreachable,  ///< a live member that is suspected
  kRetired,      ///< retired in the log, or replaced by a newer incarnation
  kUnknown,      ///< no join in the log read so far
};

/// @brief An incarnation and how to reach it.
struct Location {
  Origin origin;
  PeerState state = PeerState::kUnknown;
  std::string address;  ///< for requests from routers; may be empty
};

/// @brief Run the request here: match rules, queue, reserve, dispatch.
struct RunHere {};

/// @brief Append KeyClaimed, then call OnClaimWon or OnClaimLost.
struct NeedClaim {
  core::Hash128 key;
};

/// @brief Send the caller the answer of `leader`, complete or still arriving.
struct Join {
  core::RequestId leader;
};

/// @brief Relay to this incarnation, then call OnForwardEnded.
struct ForwardTo {
  core::RouterId router;
  core::Incarnation incarnation;
  std::string address;
};

/// @brief Refuse the request; this is its final answer.
struct Refuse {
  core::Error error;
  core::RunState run_state = core::RunState::kNotRun;
  std::optional<core::Duration> retry_after;
};

/// @brief What to do with a request.
using KeyVerdict = std::variant<RunHere, NeedClaim, Join, ForwardTo, Refuse>;

/// @brief A verdict and the request it applies to.
struct RequestVerdict {
  core::RequestId request;
  KeyVerdict verdict;
};

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_VERDICT_H_
