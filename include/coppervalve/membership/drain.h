#ifndef COPPERVALVE_MEMBERSHIP_DRAIN_H_
#define COPPERVALVE_MEMBERSHIP_DRAIN_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint8_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::membership {

/// @brief Where a graceful shutdown stands; it only moves forward.
enum class DrainPhase : uint8_t {
  kActive,
  kDraining,     ///< off the address lists, DrainStarted due, still serves
  kRefusingNew,  ///< new requests get kDraining; those here go on to their end
  kReturning,    ///< nothing here any more: holdings go back
  kFinalising,   ///< SpendFinalized and RouterRetired (DRAINED) are due
  kExit,         ///< the process may end
};

struct DrainLimits {
  core::Duration address_lifetime = std::chrono::seconds(10);
  /// For a list that was handed out just before other routers learned of it.
  core::Duration margin = std::chrono::seconds(2);
  /// The wait starts without the record when the log is out for this long.
  core::Duration announce_timeout = std::chrono::seconds(5);
};

/// @brief What the drain is computed from.
struct DrainInputs {
  bool announced = false;  ///< DrainStarted is in this router's fold
  size_t in_progress = 0;
  size_t queued = 0;              ///< waiting for a claim or an upstream
  bool holdings_settled = false;  ///< returns folded, no transfer pending
  bool finalized = false;         ///< the final records are folded
};

/// @brief Graceful shutdown: never cuts a request that is in progress.
class Drain {
 public:
  explicit Drain(DrainLimits limits = {});

  void SetAddressLifetime(core::Duration lifetime);
  /// @brief SIGTERM or an operator's order.
  /// @return whether it is the first; a later one changes nothing
  bool Request(core::TimePoint now);
  /// @brief Moves on as far as the inputs allow.
  DrainPhase Advance(core::TimePoint now, const DrainInputs& inputs);

  DrainPhase phase() const { return m_phase; }
  /// @return whether address lists may name this router
  bool Listed() const { return m_phase == DrainPhase::kActive; }
  /// @return whether new requests are taken
  bool AcceptsNewRequests() const { return m_phase <= DrainPhase::kDraining; }

 private:
  bool ListsExpired(core::TimePoint now, const DrainInputs& inputs);
  bool PhaseComplete(core::TimePoint now, const DrainInputs& inputs);

  DrainLimits m_limits;
  DrainPhase m_phase = DrainPhase::kActive;
  core::TimePoint m_requested_at;
  std::optional<core::TimePoint> m_lists_expiring_since;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_DRAIN_H_
