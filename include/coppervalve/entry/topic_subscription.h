#ifndef COPPERVALVE_ENTRY_TOPIC_SUBSCRIPTION_H_
#define COPPERVALVE_ENTRY_TOPIC_SUBSCRIPTION_H_

#include <cstddef>   // size_t
#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/entry/heartbeat_rate.h"

namespace coppervalve::entry {

/// @brief The load that following a topic puts on the durable store.
struct TopicCost {
  /// Whether the other fields are known.
  bool known = true;
  double bytes_per_second = 0;  ///< sent to each reader; 0 = unknown
  size_t routers = 1;
  /// Shared by all readers; 0 = unknown.
  double store_bytes_per_second = 0;
};

/// @return bytes per second of the table of upstreams; 0 = unknown
/// @param heartbeat interval between records of one upstream; 0 = unknown
double UpstreamTableBytes(size_t upstreams, core::Duration heartbeat);

/// @return bytes per second of the heartbeats of all routers
/// @param accounts number of accounts that active routers claim
double HeartbeatBytes(const HeartbeatLimits& limits, size_t accounts);

/// @return size of the newest heartbeats of all routers
/// @param accounts number of accounts that active routers claim
size_t HeartbeatListBytes(const HeartbeatLimits& limits, size_t accounts);

/// @brief Constants of the decision to follow a topic.
struct TopicSubscriptionOptions {
  /// All routers follow if they need at most this part of the store's
  /// bandwidth.
  double max_store_share = 0.5;
  /// How long a router that was active keeps following, as callers cache
  /// addresses.
  core::Duration keep_following{8'000'000};
};

/// @return whether the store can reliably send the topic to every router
bool StoreCanServeAll(const TopicCost& cost,
                      const TopicSubscriptionOptions& options);

/// @brief Decides whether this router follows a topic.
///
/// The bytes that a topic sends grow with the number of its writers times the
/// number of its readers. In a large fleet that exceeds the bandwidth of the
/// store, and relevant changes reach all routers seconds late. Then only those
/// routers follow that callers are directed to, or would be if twice as many
/// were needed; the others start reading when they become active.
class TopicSubscription {
 public:
  explicit TopicSubscription(TopicSubscriptionOptions options = {})
      : m_options(options) {}

  /// @param needed this router needs the topic, whatever it costs
  /// @return whether it follows now
  bool Advance(const TopicCost& cost, bool needed, core::TimePoint now);
  bool follows() const { return m_follows; }

 private:
  TopicSubscriptionOptions m_options;
  std::optional<core::TimePoint> m_last_needed;
  bool m_follows = true;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_TOPIC_SUBSCRIPTION_H_
