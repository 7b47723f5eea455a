#ifndef COPPERVALVE_STANDIN_TOKEN_TEXT_H_
#define COPPERVALVE_STANDIN_TOKEN_TEXT_H_

#include <cstddef>      // size_t
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief Number of tokens of a prompt: a quarter of its bytes, rounded up, at
/// least 1.
core::Tokens PromptTokens(size_t prompt_bytes);

/// @brief Number of tokens of an answer; the same for each run of a request.
/// @param max_tokens requested maximum, at least 1
/// @param early_stop whether answers may be shorter than requested
core::Tokens OutputTokens(std::string_view request_id,
                          core::Tokens max_tokens,
                          bool early_stop);

/// @brief Text of one token of an answer: "<request id>:<index> ", or
/// "<request id>:<index>.end " for the last. A checker that knows the
/// request id detects a missing, duplicate or reordered token, or one of
/// another request.
std::string TokenText(std::string_view request_id,
                      core::Tokens index,
                      bool last);

/// @return whether the text is the complete answer of the request
/// @complexity linear in the size of the text
bool IsCompleteAnswer(std::string_view request_id, std::string_view text);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_TOKEN_TEXT_H_
