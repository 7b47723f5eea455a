#ifndef COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
#define COPPERVALVE_ENTRY_UPSTREAM_GATE_H_

#include <cstdint>        // uint8_t
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/evacuations.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_senders.h"

namespace coppervalve::entry {

/// @brief Whether an upstream may be sent a request now.
enum class GateState : uint8_t {
  kOpen,
  kEvacuated,  ///< its failure domain is evacuated
  kPaused,     ///< it requested a pause from this router
  kWarmingUp,  ///< it is cold, and this router's share is used up
  kLimited,    ///< it sent a limit, and this router's share is used up
  kBrittle,    ///< it rejected a request, and more could make it fail
};

/// @brief Decides whether a healthy upstream that is not leaving may be sent a
/// request. Checked when a request is placed and again before its first byte is
/// sent, as opening a connection takes time.
class UpstreamGate {
 public:
  /// @brief A gate that considers all upstreams warm.
  UpstreamGate() = default;
  /// @param senders must outlive the gate
  UpstreamGate(const UpstreamSenders& senders,
               WarmUpBounds bounds,
               LimitOptions limits = {})
      : m_senders(&senders), m_bounds(bounds), m_limits(limits) {}

  void OnConfiguration(const Configuration& configuration);
  /// @complexity linear in the requests sent to the upstream in the last second
  GateState StateOf(const Upstream& upstream, core::TimePoint now) const;
  /// @return when the upstream's limit allows this router's next request
  core::TimePoint NextWithinLimit(const Upstream& upstream,
                                  core::TimePoint now) const;
  /// @return the earliest such time among the upstreams with a limit;
  /// `core::TimePoint::max()` if none has one
  core::TimePoint NextOfService(const std::vector<UpstreamRef>& upstreams,
                                core::TimePoint now) const;
  /// @brief Whether an upstream is treated as cold.
  bool CountsAsCold(const Upstream& upstream, core::TimePoint now) const;
  /// @brief A request is being sent to the upstream.
  void OnSend(Upstream& upstream, core::TimePoint now) const;
  /// @brief An attempt at the upstream ended.
  void OnOutcome(Upstream& upstream,
                 AttemptOutcome outcome,
                 core::TimePoint now) const;

  Evacuations& evacuations() { return m_evacuations; }
  const Evacuations& evacuations() const { return m_evacuations; }

 private:
  SenderPosition PositionOf(const Upstream& upstream,
                            core::TimePoint now) const;
  const WarmUp* WarmUpOf(const Upstream& upstream) const;
  bool AllowsOneMore(const Upstream& upstream, core::TimePoint now) const;

  Evacuations m_evacuations;
  const UpstreamSenders* m_senders = nullptr;
  WarmUpBounds m_bounds;
  LimitOptions m_limits;
  std::unordered_map<core::ServiceId, WarmUp> m_warm_ups;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
