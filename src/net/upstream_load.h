#ifndef COPPERVALVE_SRC_NET_UPSTREAM_LOAD_H_
#define COPPERVALVE_SRC_NET_UPSTREAM_LOAD_H_

#include <cstdint>      // uint32_t
#include <optional>     // optional
#include <string_view>  // string_view

#include "coppervalve/net/http_types.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @return the number, if the complete text is one
std::optional<uint32_t> ReadNumber(std::string_view text);

/// @return the load that an engine reported in its headers, if any
std::optional<router::UpstreamLoad> LoadOf(const HeaderList& headers);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_UPSTREAM_LOAD_H_
