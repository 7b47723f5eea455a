#include "coppervalve/gateway/peer_liveness.h"

#include <linux/sockios.h>  // SIOCOUTQ
#include <netinet/in.h>     // IPPROTO_TCP
#include <netinet/tcp.h>    // tcp_info
#include <sys/ioctl.h>      // ioctl
#include <sys/socket.h>     // getsockopt

#include <chrono>  // milliseconds

namespace coppervalve::gateway {

namespace {

// Probes or retransmissions that stay unanswered for this long.
constexpr core::Duration kMaxSilence{3'000'000};
// Time without a byte read, although the peer answers.
constexpr core::Duration kMaxStall{10'000'000};

}  // namespace

std::optional<TransportState> ReadTransportState(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unacknowledged = 0;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < sizeof(info) || info.tcpi_state == 0 ||
      ioctl(socket, SIOCOUTQ, &unacknowledged) != 0) {
    return std::nullopt;
  }
  TransportState state;
  state.unanswered = uint32_t{info.tcpi_retransmits} + info.tcpi_probes;
  state.since_last_ack = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  state.unacknowledged = static_cast<size_t>(unacknowledged);
  return state;
}

void PeerLiveness::Start(uint64_t acknowledged, core::TimePoint now) {
  m_acknowledged = acknowledged;
  m_last_progress = now;
}

bool PeerLiveness::IsGone(const TransportState& state,
                          uint64_t acknowledged,
                          core::TimePoint now) {
  if (acknowledged != m_acknowledged) {
    m_acknowledged = acknowledged;
    m_last_progress = now;
  }
  const bool silent =
      state.unanswered != 0 && state.since_last_ack >= kMaxSilence;
  return silent || now - m_last_progress >= kMaxStall;
}

}  // namespace coppervalve::gateway
