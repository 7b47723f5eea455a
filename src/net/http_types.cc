#include "coppervalve/net/http_types.h"

#include <algorithm>  // find
#include <array>      // to_array

namespace coppervalve::net {

namespace {

constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
     "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
     "content-length", "expect"});

}  // namespace

std::string_view HeaderValue(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

bool IsHopByHop(std::string_view name) {
  return std::find(kHopByHop.begin(), kHopByHop.end(), name) != kHopByHop.end();
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace coppervalve::net
