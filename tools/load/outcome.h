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

/// @brief What a caller knows after one attempt, or at the end of a request.
enum class Verdict : uint8_t {
  kWhole,    ///< its own whole answer
  kWrong,    ///< an answer that is not whole or not its own, but looks so
  kRefused,  ///< told "not run"
  kUnknown,  ///< told that it may have run, or told nothing
  kCut,      ///< a stream that ended without its end, and was said to
  kNotSent,  ///< no router could be reached
};

/// @brief When the tokens of an answer came.
struct AnswerTimes {
  std::optional<double> first_token_ms;
  std::vector<double> gaps_ms;  ///< between tokens
};

/// @brief The end of one attempt.
struct AttemptEnd {
  Verdict verdict = Verdict::kNotSent;
  std::string error_id;    ///< "CV-...", or what the transport did
  std::string request_id;  ///< of the answer, as the upstream knew it
  std::optional<std::chrono::milliseconds> retry_after;
  bool retry_elsewhere = false;  ///< another address may well take it
  AnswerTimes times;
};

/// @brief The end of one request.
struct Outcome {
  AttemptEnd last;
  std::string key;
  size_t attempts = 0;
  /// An earlier attempt may have run, whatever the last one was told.
  bool earlier_unknown = false;
  double total_ms = 0;
  Clock::time_point ended_at;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_OUTCOME_H_
