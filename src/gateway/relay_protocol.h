#ifndef COPPERVALVE_SRC_GATEWAY_RELAY_PROTOCOL_H_
#define COPPERVALVE_SRC_GATEWAY_RELAY_PROTOCOL_H_

#include <chrono>       // milliseconds
#include <string_view>  // string_view

namespace coppervalve::gateway {

inline constexpr std::string_view kRelayMethod = "RELAY";
inline constexpr std::string_view kUpstreamHeader = "Upstream-Id";
inline constexpr int kRelayOpen = 200;
inline constexpr int kRelayRefused = 502;
inline constexpr int kRelayDeclined = 503;
inline constexpr int kRelayUnreachable = 504;

// TCP retransmits a lost SYN only after a second; trying another upstream is
// faster.
inline constexpr std::chrono::milliseconds kUpstreamConnectTimeout{350};
// For a connection to the relay and its connection to the upstream.
inline constexpr std::chrono::milliseconds kRelayOpenTimeout{500};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_RELAY_PROTOCOL_H_
