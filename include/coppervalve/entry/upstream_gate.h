#ifndef COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
#define COPPERVALVE_ENTRY_UPSTREAM_GATE_H_

#include <cstdint>        // uint8_t
#include <unordered_map>  // unordered_map

#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/evacuations.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/warm_up_share.h"

namespace coppervalve::entry {

/// @brief Whether an upstream may be sent a request now.
enum class Passage : uint8_t {
  kOpen,
  kEvacuated,  ///< its failure domain is evacuated
  kWarmingUp,  ///< it is cold, and got this router's part of what it bears
};

/// @brief What forbids requests to upstreams that are well and not leaving.
/// Asked when a request is placed and again before its first byte goes out, as
/// opening a connection takes time.
class UpstreamGate {
 public:
  /// @brief A gate that takes all upstreams to be warm.
  UpstreamGate() = default;
  /// @param senders must outlive the gate
  UpstreamGate(const WarmUpSenders& senders, WarmUpBounds bounds)
      : m_senders(&senders), m_bounds(bounds) {}

  void OnConfiguration(const Configuration& configuration);
  /// @complexity linear in the requests that the upstream got in a second
  Passage Of(const Upstream& upstream, core::TimePoint now) const;
  /// @brief Whether an upstream counts as cold.
  bool Cold(const Upstream& upstream, core::TimePoint now) const;
  /// @brief A request goes out to the upstream now.
  void OnSend(Upstream& upstream, core::TimePoint now) const;
  /// @brief An attempt at the upstream ended.
  void OnOutcome(Upstream& upstream,
                 AttemptOutcome outcome,
                 core::TimePoint now) const;

  Evacuations& evacuations() { return m_evacuations; }
  const Evacuations& evacuations() const { return m_evacuations; }

 private:
  const WarmUp* WarmUpOf(const Upstream& upstream) const;

  Evacuations m_evacuations;
  const WarmUpSenders* m_senders = nullptr;
  WarmUpBounds m_bounds;
  std::unordered_map<core::ServiceId, WarmUp> m_warm_ups;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
