#ifndef COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_
#define COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_

#include <cstdint>  // uint8_t, uint32_t

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How an attempt at an upstream ended, for its health.
enum class AttemptOutcome : uint8_t {
  kAnswered,      ///< a whole answer that is not the upstream's own failure
  kOwnFailure,    ///< an answer of status 500 and above that ran
  kDeclined,      ///< said that it did not run the request
  kUnreachable,   ///< no connection; nothing was sent
  kBroken,        ///< the connection ended or made no sense
  kSilent,        ///< nothing came in time
  kMisaddressed,  ///< another upstream has the address now
  kWithheld,      ///< this router sent nothing, for a reason of its own
};

/// @brief How much an upstream is trusted with the next request.
enum class Trust : uint8_t { kFull, kSuspect, kNone };

/// @brief Health of one upstream, judged by real traffic only.
class UpstreamHealth {
 public:
  /// @complexity constant, as all of this class
  void On(AttemptOutcome outcome, core::TimePoint now);
  /// @brief Time to the first byte of an answer.
  /// @param cost that was expected of the request, in any unit that is the
  /// same for all upstreams of the service
  void OnFirstByte(core::Duration time, double cost);

  Trust trust(core::TimePoint now) const;
  /// @return smoothed microseconds a unit of cost; 0 before any answer
  double pace() const { return m_pace; }

 private:
  double FailuresAt(core::TimePoint now) const;
  void AvoidFor(core::Duration span, core::TimePoint now);

  double m_failures = 0;  ///< smoothed share of failures at m_failures_at
  core::TimePoint m_failures_at{};
  core::TimePoint m_avoid_until{};
  uint32_t m_in_a_row = 0;
  double m_pace = 0;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_HEALTH_H_
