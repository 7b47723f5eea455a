#ifndef COPPERVALVE_CONFIG_JSON_TREE_H_
#define COPPERVALVE_CONFIG_JSON_TREE_H_

#include <cstdint>      // uint8_t
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/result.h"

namespace coppervalve::config {

struct JsonMember;

/// @brief A JSON value as written, with duplicate names and number literals
/// kept.
struct JsonNode {
  enum class Kind : uint8_t {
    kNull,
    kBool,
    kInteger,
    kFraction,
    kString,
    kArray,
    kObject,
  };

  Kind kind = Kind::kNull;
  std::string text;  ///< of a string, or the literal of a number
  std::vector<JsonNode> items;
  std::vector<JsonMember> members;
};

struct JsonMember {
  std::string name;
  JsonNode value;
};

/// @return the name of a kind for messages
std::string_view NameOf(JsonNode::Kind kind);

/// @brief Reads one JSON document.
/// @error kConfigSyntax, subject "$", detail with line and column
/// @complexity linear in the text
core::Result<JsonNode> ReadJson(std::string_view text);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_JSON_TREE_H_
