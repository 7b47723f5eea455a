#ifndef COPPERVALVE_GATEWAY_RELAY_TUNNEL_H_
#define COPPERVALVE_GATEWAY_RELAY_TUNNEL_H_

#include <cstdint>      // uint8_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/ids.h"
#include "coppervalve/gateway/stream.h"
#include "coppervalve/http1/response_reader.h"

namespace coppervalve::gateway {

/// @brief Whether another router connected this one to an upstream.
enum class RelayResult : uint8_t {
  kOpen,
  kRefused,      ///< nothing listens on the upstream's address
  kUnreachable,  ///< the other router can't reach the upstream either
  kDeclined,     ///< the other router does not relay at present
  kFailed,       ///< the other router can't be reached or did not answer
};

std::string_view ToString(RelayResult result);

/// @brief A connection to an upstream through another router, on the side of
/// the router that wants it.
///
/// Protocol: a request head with the method RELAY and the upstream's id. After
/// a response with status 200, the bytes of this side go to the upstream as
/// they are. Those of the upstream are the chunks of the response, whose last
/// chunk stands for an orderly end. So the end of the other router is never
/// taken for the end of the upstream's answer.
class RelayTunnel : public std::enable_shared_from_this<RelayTunnel> {
 public:
  struct Handlers {
    /// Called once, before any other handler.
    std::function<void(RelayResult result)> on_result;
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void(StreamEnd end)> on_end;
  };

  /// @param stream to the other router, not started
  RelayTunnel(StreamRef stream, Handlers handlers);
  /// @brief Asks for a connection to an upstream.
  void Open(const core::UpstreamId& upstream);

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void Report(RelayResult result);

  StreamRef m_stream;
  Handlers m_handlers;
  http1::ResponseReader m_reader{false};
  std::string m_unread;
  bool m_reported = false;
  bool m_ended = false;
};

/// @brief Head of the request for a tunnel.
std::string RelayRequest(const core::UpstreamId& upstream);
/// @brief Whether an id can be named in the head of a request.
bool IsRelayable(const core::UpstreamId& upstream);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_RELAY_TUNNEL_H_
