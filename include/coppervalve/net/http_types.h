#ifndef COPPERVALVE_NET_HTTP_TYPES_H_
#define COPPERVALVE_NET_HTTP_TYPES_H_

#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // pair
#include <vector>       // vector

/// HTTP types without a dependency on the HTTP library, so that only a few
/// sources include it.
namespace coppervalve::net {

/// @brief Header names (lower case) with their values, in the order sent.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @brief A complete HTTP request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< path with query, as sent
  HeaderList headers;
  std::string body;
  bool http_1_0 = false;
};

/// @brief Status and headers of an answer.
struct HttpHead {
  unsigned status = 200;
  HeaderList headers;
};

/// @brief Looks up a header. @param name in lower case
/// @return its first value; empty when absent
std::string_view HeaderValue(const HeaderList& headers, std::string_view name);

/// @return whether a proxy must not relay this header (hop-by-hop, framing)
bool IsHopByHop(std::string_view name);

/// @brief The part of a target before its query.
std::string_view PathOf(std::string_view target);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_HTTP_TYPES_H_
