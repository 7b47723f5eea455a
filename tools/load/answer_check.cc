#include "tools/load/answer_check.h"

#include <cstddef>  // size_t

namespace coppervalve::load {

namespace {

constexpr std::string_view kFirstToken = ":0";
constexpr std::string_view kEndMark = ".end ";

// Removes the prefix `expected`. @return whether it was present
bool Take(std::string_view& text, std::string_view expected) {
  if (!text.starts_with(expected)) {
    return false;
  }
  text.remove_prefix(expected.size());
  return true;
}

}  // namespace

std::optional<std::string> RequestIdOfCompleteText(std::string_view text) {
  const size_t id_end = text.find(kFirstToken);
  if (id_end == std::string_view::npos || id_end == 0) {
    return std::nullopt;
  }
  const std::string id(text.substr(0, id_end));
  for (size_t index = 0;; ++index) {
    if (!Take(text, id + ":" + std::to_string(index))) {
      return std::nullopt;
    }
    if (Take(text, kEndMark)) {
      return text.empty() ? std::optional(id) : std::nullopt;
    }
    if (!Take(text, " ")) {
      return std::nullopt;
    }
  }
}

}  // namespace coppervalve::load
