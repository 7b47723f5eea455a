#ifndef COPPERVALVE_MEMBERSHIP_DRAIN_H_
#define COPPERVALVE_MEMBERSHIP_DRAIN_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint8_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::membership {

/// @brief Phase of a graceful shutdown; phases only advance.
enum class DrainPhase : uint8_t {
  kActive,
  kDraining,     ///< not on address lists, DrainStarted due, still serving
  kRefusingNew,  ///< new requests get kDraining; accepted ones are completed
  kReturning,    ///< no requests left; holdings are returned
  kFinalising,   ///< SpendFinalized and RouterRetired (DRAINED) are due
  kExit,         ///< the process may end
};

struct DrainLimits {
  core::Duration address_lifetime = std::chrono::seconds(10);
  /// Covers lists that other routers sent to callers just before they received
  /// the announcement of the drain.
  core::Duration margin = std::chrono::seconds(2);
  /// If the log is unavailable for this long, the wait starts without the
  /// record.
  core::Duration announce_timeout = std::chrono::seconds(5);
};

/// @brief Inputs that the phase is computed from.
struct DrainInputs {
  bool announced = false;  ///< this router's fold has applied DrainStarted
  size_t in_progress = 0;
  size_t queued = 0;              ///< waiting for a claim or an upstream
  bool holdings_settled = false;  ///< returns applied, no transfer pending
  bool finalized = false;         ///< the final records are applied
};

/// @brief Graceful shutdown, which never aborts a request in progress.
class Drain {
 public:
  explicit Drain(DrainLimits limits = {});

  void SetAddressLifetime(core::Duration lifetime);
  /// @brief Starts the drain, on SIGTERM or an operator's request.
  /// @return whether this is the first request; later ones change nothing
  bool Request(core::TimePoint now);
  /// @brief Advances as many phases as the inputs allow.
  DrainPhase Advance(core::TimePoint now, const DrainInputs& inputs);

  DrainPhase phase() const { return m_phase; }
  /// @return whether address lists may contain this router
  bool Listed() const { return m_phase == DrainPhase::kActive; }
  /// @return whether new requests are accepted
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
