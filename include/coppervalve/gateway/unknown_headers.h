#ifndef COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_
#define COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_

#include <cstddef>  // size_t
#include <set>      // set
#include <string>   // string

namespace coppervalve::gateway {

/// @brief Names of response headers from upstreams that the router does not
/// interpret. Each is logged once, since a new header may require routers to
/// act on it.
class UnknownHeaders {
 public:
  /// @return whether the name is new, in which case it is recorded; always
  /// false once kMaxNames names are recorded
  bool IsNew(const std::string& name) {
    return m_names.size() < kMaxNames && m_names.insert(name).second;
  }

 private:
  static constexpr size_t kMaxNames = 20;
  std::set<std::string> m_names;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_
