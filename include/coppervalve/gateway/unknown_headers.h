#ifndef COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_
#define COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_

#include <cstddef>  // size_t
#include <set>      // set
#include <string>   // string

namespace coppervalve::gateway {

/// @brief Headers of upstreams' answers that nothing here reads. One that is
/// new may ask something of the routers: each is logged once.
class UnknownHeaders {
 public:
  /// @return whether a name comes for the first time; false for all once many
  /// are known
  bool IsNew(const std::string& name) {
    return m_names.size() < kMaxNames && m_names.insert(name).second;
  }

 private:
  static constexpr size_t kMaxNames = 20;
  std::set<std::string> m_names;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UNKNOWN_HEADERS_H_
