#ifndef COPPERVALVE_STANDINS_ENGINE_COMPLETION_FORMAT_H_
#define COPPERVALVE_STANDINS_ENGINE_COMPLETION_FORMAT_H_

#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief Parameters of a completion request.
struct CompletionRequest {
  bool chat = false;  ///< /v1/chat/completions, else /v1/completions
  bool stream = false;
  std::string model;
  std::string prompt;  ///< for chat: the contents of all messages
  core::Tokens max_tokens;
};

/// @brief Token counts of one answer.
struct CompletionUsage {
  core::Tokens prompt;
  core::Tokens output;
};

/// @brief Parses the body of a completion request.
/// @return kMalformedJson, or kBadRequest when max_tokens is below 1
core::Result<CompletionRequest> ParseCompletion(std::string_view path,
                                                std::string_view body);

/// @brief The server-sent event of one token.
std::string TokenEvent(const CompletionRequest& request,
                       std::string_view request_id,
                       std::string_view text,
                       bool last);

/// @brief The final server-sent events: usage, then [DONE].
std::string FinalEvents(const CompletionRequest& request,
                        std::string_view request_id,
                        const CompletionUsage& usage);

/// @brief The body of a response that is not streamed.
std::string CompletionBody(const CompletionRequest& request,
                           std::string_view request_id,
                           std::string_view text,
                           const CompletionUsage& usage);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_ENGINE_COMPLETION_FORMAT_H_
