#include "coppervalve/entry/topic_subscription.h"

#include <algorithm>  // min

namespace coppervalve::entry {

namespace {

// Typical sizes of encoded records.
constexpr double kUpstreamRecordBytes = 260;
constexpr double kHeartbeatBytes = 160;
constexpr double kClaimBytes = 40;

double Seconds(core::Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

double UpstreamTableBytes(size_t upstreams, core::Duration heartbeat) {
  if (heartbeat <= core::Duration::zero()) {
    return 0;
  }
  return static_cast<double>(upstreams) * kUpstreamRecordBytes /
         Seconds(heartbeat);
}

double HeartbeatBytes(const HeartbeatLimits& limits, size_t accounts) {
  HeartbeatLimits active = limits;
  active.self_active = true;
  HeartbeatLimits standby = limits;
  standby.self_active = false;
  const uint32_t standbys = limits.live - std::min(limits.live, limits.active);
  const double active_bytes =
      kHeartbeatBytes + kClaimBytes * static_cast<double>(accounts);
  return limits.active * active_bytes / Seconds(HeartbeatPeriod(active)) +
         standbys * kHeartbeatBytes / Seconds(HeartbeatPeriod(standby));
}

size_t HeartbeatListBytes(const HeartbeatLimits& limits, size_t accounts) {
  return static_cast<size_t>(limits.live * kHeartbeatBytes +
                             limits.active * kClaimBytes *
                                 static_cast<double>(accounts));
}

bool StoreCanServeAll(const TopicCost& cost,
                      const TopicSubscriptionOptions& options) {
  if (cost.store_bytes_per_second <= 0) {
    return true;
  }
  if (!cost.known) {
    return false;
  }
  return cost.bytes_per_second * static_cast<double>(cost.routers) <=
         cost.store_bytes_per_second * options.max_store_share;
}

bool TopicSubscription::Advance(const TopicCost& cost,
                                bool needed,
                                core::TimePoint now) {
  if (needed) {
    m_last_needed = now;
  }
  const bool recently_needed =
      m_last_needed && now - *m_last_needed < m_options.keep_following;
  m_follows = recently_needed || StoreCanServeAll(cost, m_options);
  return m_follows;
}

}  // namespace coppervalve::entry
