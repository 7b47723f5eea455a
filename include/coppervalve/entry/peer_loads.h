#ifndef COPPERVALVE_ENTRY_PEER_LOADS_H_
#define COPPERVALVE_ENTRY_PEER_LOADS_H_

#include <cstdint>        // uint32_t, uint64_t
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::entry {

/// @brief Work in progress at one upstream.
struct Load {
  double in_flight = 0;
  double in_prefill = 0;  ///< prompt tokens
};

/// @brief Short name of an upstream in load reports.
uint32_t LoadKey(const core::UpstreamId& upstream);

/// @brief What other routers reported of their work a moment ago.
class PeerLoads {
 public:
  /// @param lifetime of a report: older ones count as silence
  explicit PeerLoads(core::Duration lifetime) : m_lifetime(lifetime) {}

  /// @brief Takes a report over, unless a newer one is known.
  /// @complexity linear in the report
  void OnReport(const v1::LoadReport& report, core::TimePoint now);
  /// @brief Forgets old reports. Call it now and then.
  void Advance(core::TimePoint now);

  /// @return the work of all routers that reported lately
  Load At(uint32_t key) const;
  /// @return routers that reported lately
  uint32_t Reporting() const { return static_cast<uint32_t>(m_peers.size()); }

 private:
  struct Peer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    core::TimePoint heard;
    std::unordered_map<uint32_t, Load> loads;
  };
  void Add(const Peer& peer, double sign);

  core::Duration m_lifetime;
  std::unordered_map<core::RouterId, Peer> m_peers;
  std::unordered_map<uint32_t, Load> m_sums;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PEER_LOADS_H_
