#include "json_tree.h"

#include <algorithm>                         // count
#include <boost/json/basic_parser_impl.hpp>  // basic_parser
#include <utility>                           // move

namespace coppervalve::config {

namespace {

using boost::json::error_code;
using boost::json::string_view;

// Builds the tree from the parser's callbacks. Boost.JSON's own values keep
// only the last of two members with the same name, which would hide mistakes
// such as a budget amount given twice.
class TreeBuilder {
 public:
  // NOLINTBEGIN(readability-identifier-naming): names given by Boost.JSON.
  static constexpr size_t max_object_size = SIZE_MAX;
  static constexpr size_t max_array_size = SIZE_MAX;
  static constexpr size_t max_key_size = SIZE_MAX;
  static constexpr size_t max_string_size = SIZE_MAX;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_array_begin(error_code&) { return Open(JsonNode::Kind::kArray); }
  bool on_array_end(size_t, error_code&) { return Close(); }
  bool on_object_begin(error_code&) { return Open(JsonNode::Kind::kObject); }
  bool on_object_end(size_t, error_code&) { return Close(); }
  bool on_key_part(string_view part, size_t, error_code&) {
    return Append(part);
  }
  bool on_key(string_view part, size_t, error_code&) {
    Append(part);
    m_open.back().members.push_back({TakeText(), {}});
    return true;
  }
  bool on_string_part(string_view part, size_t, error_code&) {
    return Append(part);
  }
  bool on_string(string_view part, size_t, error_code&) {
    Append(part);
    return Add(JsonNode::Kind::kString);
  }
  bool on_number_part(string_view part, error_code&) { return Append(part); }
  bool on_int64(int64_t, string_view part, error_code&) {
    return AddNumber(part);
  }
  bool on_uint64(uint64_t, string_view part, error_code&) {
    return AddNumber(part);
  }
  bool on_double(double, string_view part, error_code&) {
    return AddNumber(part);
  }
  bool on_bool(bool, error_code&) { return Add(JsonNode::Kind::kBool); }
  bool on_null(error_code&) { return Add(JsonNode::Kind::kNull); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

  // NOLINTEND(readability-identifier-naming)

  JsonNode TakeRoot() { return std::move(m_root); }

 private:
  bool Append(string_view part) {
    m_text.append(part.data(), part.size());
    return true;
  }

  std::string TakeText() { return std::exchange(m_text, {}); }

  bool Open(JsonNode::Kind kind) {
    m_open.emplace_back().kind = kind;
    return true;
  }

  bool Close() {
    JsonNode node = std::move(m_open.back());
    m_open.pop_back();
    return AddToParent(std::move(node));
  }

  bool Add(JsonNode::Kind kind) {
    JsonNode node;
    node.kind = kind;
    node.text = TakeText();
    return AddToParent(std::move(node));
  }

  bool AddNumber(string_view part) {
    Append(part);
    const bool fraction = m_text.find_first_of(".eE") != std::string::npos;
    return Add(fraction ? JsonNode::Kind::kFraction : JsonNode::Kind::kInteger);
  }

  bool AddToParent(JsonNode node) {
    if (m_open.empty()) {
      m_root = std::move(node);
    } else if (m_open.back().kind == JsonNode::Kind::kArray) {
      m_open.back().items.push_back(std::move(node));
    } else {
      m_open.back().members.back().value = std::move(node);
    }
    return true;
  }

  JsonNode m_root;
  std::vector<JsonNode> m_open;
  std::string m_text;
};

core::Error SyntaxError(std::string_view text,
                        size_t position,
                        const std::string& what) {
  const std::string_view before = text.substr(0, position);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const size_t last_break = before.rfind('\n');
  const size_t column = last_break == std::string_view::npos
                            ? position
                            : position - last_break - 1;
  return {core::ErrorId::kConfigSyntax, "$",
          "line " + std::to_string(line) + ", column " +
              std::to_string(column + 1) + ": " + what};
}

}  // namespace

std::string_view NameOf(JsonNode::Kind kind) {
  switch (kind) {
    case JsonNode::Kind::kNull:
      return "null";
    case JsonNode::Kind::kBool:
      return "a boolean";
    case JsonNode::Kind::kInteger:
      return "an integer";
    case JsonNode::Kind::kFraction:
      return "a fraction";
    case JsonNode::Kind::kString:
      return "a string";
    case JsonNode::Kind::kArray:
      return "an array";
    case JsonNode::Kind::kObject:
      return "an object";
  }
  return "a value";
}

core::Result<JsonNode> ReadJson(std::string_view text) {
  boost::json::basic_parser<TreeBuilder> parser{boost::json::parse_options{}};
  error_code error;
  const size_t read = parser.write_some(false, text.data(), text.size(), error);
  if (error) {
    return SyntaxError(text, read, error.message());
  }
  const size_t rest = text.find_first_not_of(" \t\r\n", read);
  if (rest != std::string_view::npos) {
    return SyntaxError(text, rest, "text after the end of the document");
  }
  return parser.handler().TakeRoot();
}

}  // namespace coppervalve::config
