#ifndef COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_
#define COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_

#include <cstdint>  // uint8_t, uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How an attempt at an upstream ended, for its health.
enum class AttemptOutcome : uint8_t {
  kAnswered,      ///< a complete response that is no failure of the upstream
  kOwnFailure,    ///< ran the request and responded with status 500 or above
  kDeclined,      ///< responded that it did not run the request
  kUnreachable,   ///< no connection; nothing was sent
  kBroken,        ///< the connection closed or violated the protocol
  kSilent,        ///< timed out
  kMisaddressed,  ///< the address now belongs to another upstream
  kWithheld,      ///< this router decided not to send the request
};

/// @brief How much an upstream is trusted with the next request.
enum class Trust : uint8_t { kFull, kSuspect, kNone };

/// @brief Health of one upstream, derived from real traffic only.
class UpstreamHealth {
 public:
  /// @complexity constant, like all members
  void On(AttemptOutcome outcome, core::TimePoint now);
  /// @brief Records the time to the first byte of a response.
  /// @param cost expected cost of the request, in a unit that is the same for
  /// all upstreams of the service
  void OnFirstByte(core::Duration time, double cost);

  /// @brief Drops all failures: they were not the upstream's.
  void Forgive();

  Trust trust(core::TimePoint now) const;
  /// @return smoothed microseconds per unit of cost; 0 before any response
  double latency_per_cost() const { return m_latency_per_cost; }

 private:
  double FailuresAt(core::TimePoint now) const;
  void AvoidFor(core::Duration span, core::TimePoint now);

  double m_failures = 0;  ///< smoothed failure rate as of m_failures_at
  core::TimePoint m_failures_at{};
  core::TimePoint m_avoid_until{};
  uint32_t m_consecutive_failures = 0;
  double m_latency_per_cost = 0;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_
