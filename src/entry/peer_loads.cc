#include "coppervalve/entry/peer_loads.h"

#include <algorithm>  // max

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

uint32_t LoadKey(const core::UpstreamId& upstream) {
  return static_cast<uint32_t>(core::Hash64(upstream.value()));
}

void PeerLoads::OnReport(const v1::LoadReport& report, core::TimePoint now) {
  Peer& peer = m_peers[core::RouterId(report.router())];
  const bool late =
      report.epoch() < peer.epoch ||
      (report.epoch() == peer.epoch && report.sequence() <= peer.sequence);
  if (late) {
    return;
  }
  Add(peer, -1);
  peer = {report.epoch(), report.sequence(), now, {}};
  for (const v1::UpstreamLoad& load : report.loads()) {
    peer.loads[load.upstream()] = {static_cast<double>(load.in_flight()),
                                   static_cast<double>(load.in_prefill())};
  }
  Add(peer, 1);
}

void PeerLoads::Advance(core::TimePoint now) {
  for (auto peer = m_peers.begin(); peer != m_peers.end();) {
    if (now - peer->second.received_at < m_lifetime) {
      ++peer;
      continue;
    }
    Add(peer->second, -1);
    peer = m_peers.erase(peer);
  }
}

Load PeerLoads::At(uint32_t key) const {
  const auto found = m_sums.find(key);
  if (found == m_sums.end()) {
    return {};
  }
  return {std::max(found->second.in_flight, 0.0),
          std::max(found->second.in_prefill, 0.0)};
}

void PeerLoads::Add(const Peer& peer, double sign) {
  for (const auto& [key, load] : peer.loads) {
    Load& sum = m_sums[key];
    sum.in_flight += sign * load.in_flight;
    sum.in_prefill += sign * load.in_prefill;
    if (sum.in_flight <= 0 && sum.in_prefill <= 0) {
      m_sums.erase(key);
    }
  }
}

}  // namespace coppervalve::entry
