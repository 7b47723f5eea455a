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

/// @brief What a relay does with its connections.
enum class RelayMode : uint8_t {
  kPass,
  /// Connections are accepted and kept open, nothing is forwarded; bytes wait
  /// and flow on after kPass, as after a partition that heals.
  kStall,
  /// Connections that exist at the switch are silent for good; new ones pass.
  kStallExisting,
  /// New connections are refused; those that exist go on.
  kRefuse,
  /// Connections that exist are reset; new ones are refused.
  kCut,
};

/// @return the mode of a name: pass, stall, stall-existing, refuse, cut
std::optional<RelayMode> RelayModeNamed(std::string_view name);
std::string_view RelayModeName(RelayMode mode);

/// @brief What a relay has done so far.
struct RelayStats {
  uint64_t accepted = 0;
  uint64_t bytes = 0;  ///< forwarded, both ways
  size_t open = 0;     ///< connections open now
};

/// @brief Forwards TCP connections to one address, or stops to.
class TcpRelay {
 public:
  TcpRelay(EventLoop& loop, Address listen, const Address& to);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// @brief Starts to accept connections.
  /// @return kSettingBadValue when the address cannot be bound
  core::Status Start();

  /// @brief Switches the mode, for connections that exist too.
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
