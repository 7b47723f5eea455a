#include "coppervalve/standin/token_text.h"

#include <algorithm>  // max

#include "coppervalve/core/hash.h"

namespace coppervalve::standin {

namespace {

constexpr size_t kBytesPerToken = 4;
constexpr std::string_view kEndMark = ".end";

}  // namespace

core::Tokens PromptTokens(size_t prompt_bytes) {
  const size_t tokens = (prompt_bytes + kBytesPerToken - 1) / kBytesPerToken;
  return core::Tokens(static_cast<int64_t>(std::max<size_t>(tokens, 1)));
}

core::Tokens OutputTokens(std::string_view request_id,
                          core::Tokens max_tokens,
                          bool early_stop) {
  if (!early_stop) {
    return max_tokens;
  }
  const uint64_t hash = core::Hash64(request_id);
  const uint64_t range = static_cast<uint64_t>(max_tokens.value());
  return core::Tokens(static_cast<int64_t>(hash % range) + 1);
}

std::string TokenText(std::string_view request_id,
                      core::Tokens index,
                      bool last) {
  std::string text(request_id);
  text += ':';
  text += std::to_string(index.value());
  if (last) {
    text += kEndMark;
  }
  text += ' ';
  return text;
}

bool IsCompleteAnswer(std::string_view request_id, std::string_view text) {
  for (core::Tokens index;; index += core::Tokens(1)) {
    if (text == TokenText(request_id, index, true)) {
      return true;
    }
    const std::string token = TokenText(request_id, index, false);
    if (!text.starts_with(token)) {
      return false;
    }
    text.remove_prefix(token.size());
  }
}

}  // namespace coppervalve::standin
