#ifndef COPPERVALVE_STANDIN_TCP_RELAY_H_
#define COPPERVALVE_STANDIN_TCP_RELAY_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <memory>       // unique_ptr
#include <optional>     // optional
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/standin/address.h"
#include "coppervalve/standin/event_loop.h"

namespace coppervalve::standin {

/// @brief How a relay treats its connections.
enum class RelayMode : uint8_t {
  kPass,
  /// Connections are accepted and kept open, but nothing is forwarded. Buffered
  /// bytes are forwarded after kPass, as after a healed network partition.
  kStall,
  /// Connections that exist when the mode is set stop forwarding permanently;
  /// new ones are forwarded.
  kStallExisting,
  /// New connections are refused; existing ones continue.
  kRefuse,
  /// Existing connections are reset; new ones are refused.
  kCut,
};

/// @return the mode with this name: pass, stall, stall-existing, refuse, cut
std::optional<RelayMode> ParseRelayMode(std::string_view name);
std::string_view RelayModeName(RelayMode mode);

/// @brief Counters of a relay.
struct RelayStats {
  uint64_t accepted = 0;
  uint64_t bytes = 0;  ///< forwarded in both directions
  size_t open = 0;     ///< connections open now
};

/// @brief Forwards TCP connections to one address and injects network faults.
class TcpRelay {
 public:
  TcpRelay(EventLoop& loop, Address listen, const Address& to);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// @brief Starts to accept connections.
  /// @return kSettingBadValue when the address cannot be bound
  core::Status Start();

  /// @brief Sets the mode, for existing connections as well.
  /// @return kSettingBadValue when the address cannot be bound again
  core::Status SetMode(RelayMode mode);

  RelayMode mode() const;
  RelayStats stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_TCP_RELAY_H_
