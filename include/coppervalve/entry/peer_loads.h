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

/// @brief Compact id of an upstream in load reports.
uint32_t LoadKey(const core::UpstreamId& upstream);

/// @brief The requests in progress that other routers reported recently.
class PeerLoads {
 public:
  /// @param lifetime after which a report is ignored
  explicit PeerLoads(core::Duration lifetime) : m_lifetime(lifetime) {}

  /// @brief Stores a report unless a newer one of the same router is known.
  /// @complexity linear in the report
  void OnReport(const v1::LoadReport& report, core::TimePoint now);
  /// @brief Drops expired reports. To be called periodically.
  void Advance(core::TimePoint now);

  /// @return the sum over all routers with a current report
  Load At(uint32_t key) const;
  /// @return number of routers with a current report
  uint32_t Reporting() const { return static_cast<uint32_t>(m_peers.size()); }

 private:
  struct Peer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    core::TimePoint received_at;
    std::unordered_map<uint32_t, Load> loads;
  };
  void Add(const Peer& peer, double sign);

  core::Duration m_lifetime;
  std::unordered_map<core::RouterId, Peer> m_peers;
  std::unordered_map<uint32_t, Load> m_sums;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PEER_LOADS_H_
