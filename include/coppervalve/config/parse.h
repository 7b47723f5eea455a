#ifndef COPPERVALVE_CONFIG_PARSE_H_
#define COPPERVALVE_CONFIG_PARSE_H_

#include <string_view>  // string_view
#include <variant>      // variant
#include <vector>       // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/error.h"

namespace coppervalve::config {

/// @brief Everything that is wrong with one file, in the order of the file's
/// checks. The subject of each error is a path such as
/// `$.rules[3].when.accounts[0]`.
using Findings = std::vector<core::Error>;

/// @brief A checked configuration, or all reasons to reject the file.
using ParseResult = std::variant<v1::Configuration, Findings>;

/// @brief Reads and checks an operators' file: syntax, schema, then semantics.
/// @param json the file's text
/// @return the configuration, or at least one finding
/// @complexity linear in the size of the text, plus CheckSemantics
ParseResult ParseOperatorsFile(std::string_view json);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_PARSE_H_
