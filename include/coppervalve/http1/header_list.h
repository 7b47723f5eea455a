#ifndef COPPERVALVE_HTTP1_HEADER_LIST_H_
#define COPPERVALVE_HTTP1_HEADER_LIST_H_

#include <cstddef>      // size_t
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

namespace coppervalve::http1 {

/// @brief A header as received.
struct Header {
  std::string name;
  std::string value;
};

/// @return whether two header names or tokens are equal, ignoring case
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// @brief Headers in the order received; names are compared ignoring case.
class HeaderList {
 public:
  void Add(std::string_view name, std::string_view value);
  /// @return the value of the first header with that name; null if there is
  /// none
  /// @complexity linear, as all functions of this class
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;

  /// @return bytes of memory that the headers take
  size_t held_bytes() const;

  auto begin() const { return m_headers.begin(); }
  auto end() const { return m_headers.end(); }
  bool empty() const { return m_headers.empty(); }

 private:
  std::vector<Header> m_headers;
  size_t m_text_bytes = 0;
};

/// @brief Whether a header applies to a single connection and must not be
/// forwarded: the fixed set of HTTP/1.1 and the headers named by `Connection`.
bool IsHopByHop(const HeaderList& headers, std::string_view name);

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_HEADER_LIST_H_
