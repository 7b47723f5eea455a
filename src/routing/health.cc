#include "coppervalve/routing/health.h"

#include <algorithm>  // min

namespace coppervalve::routing {

namespace {

constexpr uint32_t kMaxBackoffStep = 16;

}  // namespace

void Health::OnSuccess(core::TimePoint now) {
  m_succeeded = true;
  m_last_success = now;
  m_consecutive = 0;
  m_error_ratio *= 1 - m_options.error_ratio_weight;
  ++m_samples;
  if (!m_ejected && now - m_returned_at > m_options.slow_start) {
    m_backoff_step = 0;
  }
}

void Health::OnFailure(FailureKind kind,
                       core::TimePoint now,
                       const RandomSource& random) {
  // A network device between the two ends may lose the state of one connection,
  // which then goes silent while new connections work. Ejecting the upstream
  // would lose its whole capacity for one lost stream. An upstream that hangs
  // stops answering the other attempts too, and its failures count as soon as
  // its last success is no longer recent.
  const bool answers_others =
      m_succeeded && now - m_last_success < m_options.recent_success_window;
  if (kind == FailureKind::kSilent && answers_others) {
    return;
  }
  CountFailure(now, random);
}

void Health::OnNotSent(core::TimePoint now, const RandomSource& random) {
  CountFailure(now, random);
}

void Health::CountFailure(core::TimePoint now, const RandomSource& random) {
  ++m_consecutive;
  ++m_samples;
  m_error_ratio += m_options.error_ratio_weight * (1 - m_error_ratio);
  const bool consecutive = m_consecutive >= m_options.consecutive_failures;
  if (m_ejected) {
    m_ejected_by_ratio = m_ejected_by_ratio && !consecutive;
    return;
  }
  if (consecutive) {
    Eject(false, now, random);
    return;
  }
  const bool ratio_counts = m_samples >= m_options.error_ratio_samples;
  if (ratio_counts && m_error_ratio > m_options.error_ratio) {
    Eject(true, now, random);
  }
}

void Health::Eject(bool by_ratio,
                   core::TimePoint now,
                   const RandomSource& random) {
  m_ejected = true;
  m_ejected_by_ratio = by_ratio;
  m_probing = false;
  ScheduleProbe(now, random);
}

void Health::ScheduleProbe(core::TimePoint now, const RandomSource& random) {
  const uint32_t step = std::min(m_backoff_step, kMaxBackoffStep);
  const core::Duration backoff =
      std::min(m_options.initial_probe_interval * (int64_t{1} << step),
               m_options.max_probe_interval);
  m_backoff_step = step + 1;
  // Jitter keeps the seven routers that saw the same failure from probing at
  // the same time.
  m_next_probe = now + backoff / 2 + UniformDuration(random, backoff / 2);
}

bool Health::TakeProbeDue(core::TimePoint now) {
  if (!m_ejected || now < m_next_probe) {
    return false;
  }
  // The result may never arrive; the next probe is then due after the timeout.
  m_probing = true;
  m_next_probe = now + m_options.probe_timeout;
  return true;
}

void Health::OnProbe(bool healthy,
                     core::TimePoint now,
                     const RandomSource& random) {
  if (!m_ejected || !m_probing) {
    return;
  }
  m_probing = false;
  if (healthy) {
    Readmit(now);
    return;
  }
  ScheduleProbe(now, random);
}

void Health::Readmit(core::TimePoint now) {
  m_ejected = false;
  m_ejected_by_ratio = false;
  m_returned = true;
  m_returned_at = now;
  m_consecutive = 0;
  m_samples = 0;
  m_error_ratio = 0;
}

HealthState Health::state(core::TimePoint now) const {
  if (m_ejected) {
    return HealthState::kEjected;
  }
  const bool ramping = m_returned && now - m_returned_at < m_options.slow_start;
  return ramping ? HealthState::kSlowStart : HealthState::kHealthy;
}

double Health::weight(core::TimePoint now) const {
  if (state(now) != HealthState::kSlowStart) {
    return 1;
  }
  const double elapsed = static_cast<double>((now - m_returned_at).count());
  const double ramp =
      elapsed / static_cast<double>(m_options.slow_start.count());
  return m_options.slow_start_floor + (1 - m_options.slow_start_floor) * ramp;
}

}  // namespace coppervalve::routing
