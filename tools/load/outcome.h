#ifndef COPPERVALVE_TOOLS_LOAD_OUTCOME_H_
#define COPPERVALVE_TOOLS_LOAD_OUTCOME_H_

#include <chrono>    // milliseconds
#include <cstddef>   // size_t
#include <cstdint>   // uint8_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "tools/load/clock.h"

namespace coppervalve::load {

/// @brief Outcome of an attempt or a request, as known to its caller.
enum class Verdict : uint8_t {
  kWhole,    ///< a complete answer to this request
  kWrong,    ///< a success whose answer is incomplete or not its own
  kRefused,  ///< reported as "not run"
  kUnknown,  ///< may have run, or nothing was reported
  kCut,      ///< a stream that ended early with a reported error
  kNotSent,  ///< no router could be reached
};

/// @brief Arrival times of the tokens of an answer.
struct AnswerTimes {
  std::optional<double> first_token_ms;
  std::vector<double> gaps_ms;  ///< between tokens
};

/// @brief Result of one attempt.
struct AttemptResult {
  Verdict verdict = Verdict::kNotSent;
  std::string error_id;    ///< "CV-...", or a description of the failure
  std::string request_id;  ///< as received by the upstream
  std::optional<std::chrono::milliseconds> retry_after;
  bool retry_elsewhere = false;  ///< another address may accept it
  AnswerTimes times;
};

/// @brief Result of one request.
struct Outcome {
  AttemptResult last;
  std::string key;
  size_t attempts = 0;
  /// An earlier attempt may have run, regardless of the last result.
  bool earlier_unknown = false;
  double total_ms = 0;
  Clock::time_point ended_at;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_OUTCOME_H_
