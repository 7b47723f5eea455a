#ifndef COPPERVALVE_ROUTING_HEALTH_H_
#define COPPERVALVE_ROUTING_HEALTH_H_

#include <cstdint>  // uint32_t

#include "coppervalve/core/units.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/upstream.h"

namespace coppervalve::routing {

/// @brief Options of ejection, probing and slow start.
struct HealthOptions {
  uint32_t consecutive_failures = 3;
  /// The upstream is ejected when the smoothed share of failures exceeds this.
  double error_ratio = 0.5;
  double error_ratio_weight = 0.1;    ///< weight of one outcome in the average
  uint32_t error_ratio_samples = 20;  ///< outcomes before the ratio is used
  core::Duration initial_probe_interval{250'000};
  core::Duration max_probe_interval{2'000'000};
  core::Duration probe_timeout{2'000'000};
  core::Duration slow_start{5'000'000};
  double slow_start_floor = 0.1;
  /// A silent connection is not counted as a failure when the upstream answered
  /// another attempt within this time.
  core::Duration recent_success_window{1'000'000};
};

/// @brief Passive health of one upstream, with active probing when ejected.
class Health {
 public:
  explicit Health(HealthOptions options) : m_options(options) {}

  /// @complexity constant, as for all functions of this class
  void OnSuccess(core::TimePoint now);
  void OnFailure(FailureKind kind,
                 core::TimePoint now,
                 const RandomSource& random);
  /// @brief Records an attempt that failed before sending because there was no
  /// connection.
  void OnNotSent(core::TimePoint now, const RandomSource& random);
  void OnProbe(bool healthy, core::TimePoint now, const RandomSource& random);
  /// @return true once for each probe that is due
  bool TakeProbeDue(core::TimePoint now);

  HealthState state(core::TimePoint now) const;
  /// @brief Share of its normal load that the upstream may get, in (0, 1].
  double weight(core::TimePoint now) const;
  /// @return true when ejected only for its error ratio: it still answers some
  /// requests
  bool ejected_by_ratio() const { return m_ejected && m_ejected_by_ratio; }

 private:
  void CountFailure(core::TimePoint now, const RandomSource& random);
  void Eject(bool by_ratio, core::TimePoint now, const RandomSource& random);
  void ScheduleProbe(core::TimePoint now, const RandomSource& random);
  void Readmit(core::TimePoint now);

  HealthOptions m_options;
  bool m_ejected = false;
  bool m_ejected_by_ratio = false;
  bool m_probing = false;
  bool m_returned = false;
  bool m_succeeded = false;
  uint32_t m_consecutive = 0;
  uint32_t m_samples = 0;
  uint32_t m_backoff_step = 0;
  double m_error_ratio = 0;
  core::TimePoint m_next_probe{};
  core::TimePoint m_returned_at{};
  core::TimePoint m_last_success{};
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_HEALTH_H_
