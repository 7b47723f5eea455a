#ifndef COPPERVALVE_ENTRY_TABLE_SUBSCRIPTION_H_
#define COPPERVALVE_ENTRY_TABLE_SUBSCRIPTION_H_

#include <cstddef>   // size_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The load that following the upstream table puts on the durable store.
struct TableCost {
  /// Whether the numbers of upstreams and routers are known.
  bool known = true;
  size_t upstreams = 0;
  size_t routers = 1;
  core::Duration heartbeat{};  ///< interval between records of one upstream
  /// Shared by all readers; 0 = unknown.
  double store_bytes_per_second = 0;
};

/// @brief Constants of the decision to follow the table.
struct TableSubscriptionOptions {
  double record_bytes = 260;
  /// All routers follow if they need at most this part of the store's
  /// bandwidth.
  double max_store_share = 0.5;
  /// How long a router that was active keeps following, as callers cache
  /// addresses.
  core::Duration keep_following{8'000'000};
};

/// @return whether the store can reliably send the table to every router
bool StoreCanServeAll(const TableCost& cost,
                      const TableSubscriptionOptions& options);

/// @brief Decides whether this router follows the table of upstreams.
///
/// Almost all records are heartbeats, one per upstream and interval, sent to
/// every reader. In a large fleet that exceeds the bandwidth of the store, and
/// relevant changes reach all routers seconds late. Then only those routers
/// follow that callers are directed to, or would be if twice as many were
/// needed; the others read the table when they become active.
class TableSubscription {
 public:
  explicit TableSubscription(TableSubscriptionOptions options = {})
      : m_options(options) {}

  /// @param active_or_next this router is active or among the next to become so
  /// @return whether it follows now
  bool Advance(const TableCost& cost, bool active_or_next, core::TimePoint now);
  bool follows() const { return m_follows; }

 private:
  TableSubscriptionOptions m_options;
  std::optional<core::TimePoint> m_last_active;
  bool m_follows = true;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_TABLE_SUBSCRIPTION_H_
