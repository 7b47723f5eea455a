#ifndef COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_
#define COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::load {

/// @brief Reads the text of an engine stand-in: "R:0 R:1 ... R:n.end " for the
/// request id R. Written apart from the stand-in, so that a fault of one is not
/// also the check's.
/// @return R, nothing when a token is missing, doubled, foreign or out of order
/// @complexity linear in the size of the text
std::optional<std::string> WholeTextId(std::string_view text);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_ANSWER_CHECK_H_
