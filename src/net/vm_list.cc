#include "vm_list.h"

#include <google/protobuf/util/json_util.h>

#include <string_view>  // string_view
#include <utility>      // move
#include <vector>       // vector

namespace coppervalve::net {

namespace {

template <typename Message>
bool ReadMessage(std::string_view text, Message& message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage({text.data(), text.size()},
                                                     &message, options)
      .ok();
}

/// @brief Finds the elements of the arrays in an object, without looking at
/// what they contain: a parser ends at the first error.
class ElementFinder {
 public:
  explicit ElementFinder(std::string_view text) : m_text(text) {}

  /// @return the elements; empty if the brackets don't match
  std::vector<std::string_view> Find() {
    for (m_at = 0; m_at < m_text.size(); ++m_at) {
      const char c = m_text[m_at];
      if (m_in_string) {
        SkipInString(c);
        continue;
      }
      switch (c) {
        case '"':
          m_in_string = true;
          break;
        case '{':
        case '[':
          Open();
          break;
        case '}':
        case ']':
          Close();
          break;
        default:
          break;
      }
    }
    return m_depth == 0 ? std::move(m_found) : std::vector<std::string_view>();
  }

 private:
  // Of an array in the object.
  static constexpr int kElementDepth = 3;

  void SkipInString(char c) {
    if (c == '\\') {
      ++m_at;
    } else if (c == '"') {
      m_in_string = false;
    }
  }

  void Open() {
    if (++m_depth == kElementDepth) {
      m_begin = m_at;
    }
  }

  void Close() {
    if (m_depth-- == kElementDepth) {
      m_found.push_back(m_text.substr(m_begin, m_at + 1 - m_begin));
    }
  }

  const std::string_view m_text;
  std::vector<std::string_view> m_found;
  size_t m_at = 0;
  size_t m_begin = 0;
  int m_depth = 0;
  bool m_in_string = false;
};

}  // namespace

std::optional<v1::VmList> ReadVmList(const std::string& text) {
  v1::VmList list;
  if (ReadMessage(text, list)) {
    return list;
  }
  list.Clear();
  for (const std::string_view element : ElementFinder(text).Find()) {
    v1::Vm vm;
    if (ReadMessage(element, vm) && !vm.id().empty()) {
      *list.add_vms() = std::move(vm);
    }
  }
  return list.vms_size() == 0 ? std::nullopt : std::optional(std::move(list));
}

}  // namespace coppervalve::net
