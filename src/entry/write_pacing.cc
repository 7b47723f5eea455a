#include "coppervalve/entry/write_pacing.h"

#include <algorithm>  // max, min

namespace coppervalve::entry {

namespace {

// Doublings beyond this exceed every limit.
constexpr uint32_t kMaxDoublings = 8;
// The queue of the store may grow from one write to the next.
constexpr int kTimeoutFactor = 2;

core::Duration Doubled(core::Duration base,
                       uint32_t times,
                       core::Duration limit) {
  return std::min(base * (1 << std::min(times, kMaxDoublings)), limit);
}

}  // namespace

void WritePacing::OnWritten(core::Duration took) {
  m_last_took = took;
  // A router that is served before all others must not expect the next reply as
  // early.
  m_expected = std::max(took, m_expected / 2);
  m_failures = 0;
  m_unanswered = 0;
}

// A store that answers nobody has no queue to wait for. With a longer timeout,
// a writer would wait for a lost reply while the store answers again.
void WritePacing::OnFailure(core::Duration took, bool store_silent) {
  ++m_failures;
  m_unanswered += took >= Timeout() && !store_silent ? 1 : 0;
}

// The timeout starts short, so that a lost reply is noticed soon, and doubles
// for a store that answers others but has a long queue.
core::Duration WritePacing::Timeout() const {
  const core::Duration base =
      std::max(m_options.shortest_timeout, m_expected * kTimeoutFactor);
  return Doubled(base, m_unanswered, m_options.longest_timeout);
}

// Jitter keeps routers that were rejected together from retrying together.
core::Duration WritePacing::RetryDelay(double jitter) const {
  const core::Duration delay =
      Doubled(m_options.first_retry_delay, m_failures > 0 ? m_failures - 1 : 0,
              m_options.longest_retry_delay);
  const auto random =
      static_cast<int64_t>(static_cast<double>(delay.count()) * 2 * jitter);
  return delay + core::Duration(random);
}

// If every router pauses for eight times the delay of its last write, at most a
// ninth of them wait in the store's queue, and the delay settles.
core::Duration WritePacing::PauseAfterWrite(bool urgent) const {
  return urgent ? core::Duration::zero() : m_last_took * m_options.pause_factor;
}

}  // namespace coppervalve::entry
