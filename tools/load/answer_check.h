#ifndef COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_
#define COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::load {

/// @brief Checks the text of an engine stand-in: "R:0 R:1 ... R:n.end " for the
/// request id R. Implemented independently of the stand-in, so that they do not
/// share a bug.
/// @return R, nothing when a token is missing, duplicate, out of order or of
/// another request
/// @complexity linear in the size of the text
std::optional<std::string> RequestIdOfCompleteText(std::string_view text);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_
