#ifndef COPPERVALVE_GATEWAY_PEER_LIVENESS_H_
#define COPPERVALVE_GATEWAY_PEER_LIVENESS_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

/// @brief What the kernel knows of the peer of a TCP connection.
struct TransportState {
  uint32_t unanswered = 0;  ///< retransmissions and probes in a row
  core::Duration since_last_ack{};
  size_t unacknowledged = 0;  ///< bytes in the kernel
};

/// @return the state of a connected socket; empty where the kernel can't tell
std::optional<TransportState> ReadTransportState(int socket);

/// @brief Tells a peer that has gone from one that reads slowly.
///
/// A peer that is there acknowledges each probe, even while its window is full.
class PeerLiveness {
 public:
  /// @brief Begins to observe a peer that has not acknowledged all bytes.
  void Start(uint64_t acknowledged, core::TimePoint now);
  /// @param acknowledged bytes since the connection was opened
  /// @return whether the peer has gone, or has taken nothing for too long
  bool IsGone(const TransportState& state,
              uint64_t acknowledged,
              core::TimePoint now);

 private:
  uint64_t m_acknowledged = 0;
  core::TimePoint m_last_progress{};
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PEER_LIVENESS_H_
