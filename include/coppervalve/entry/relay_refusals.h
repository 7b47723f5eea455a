#ifndef COPPERVALVE_ENTRY_RELAY_REFUSALS_H_
#define COPPERVALVE_ENTRY_RELAY_REFUSALS_H_

#include <cstdint>        // uint32_t
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief The routers that could not connect to an upstream for one request.
///
/// A router that is asked to relay may be partitioned itself and not know it
/// yet, so that its failure says little of the upstream.
class RelayRefusals {
 public:
  /// @brief A router could not connect to an upstream.
  void OnRefused(const std::string& relay, const core::UpstreamId& upstream);
  /// @return whether enough routers failed to tell that the upstream can't be
  /// reached
  bool IsConfirmed(const core::UpstreamId& upstream) const;
  /// @return the routers that failed
  const std::vector<std::string>& relays() const { return m_relays; }

 private:
  std::vector<std::string> m_relays;
  std::unordered_map<core::UpstreamId, uint32_t> m_count;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RELAY_REFUSALS_H_
