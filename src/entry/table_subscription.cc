#include "coppervalve/entry/table_subscription.h"

namespace coppervalve::entry {

bool StoreCanServeAll(const TableCost& cost,
                      const TableSubscriptionOptions& options) {
  if (cost.heartbeat <= core::Duration::zero() ||
      cost.store_bytes_per_second <= 0) {
    return true;
  }
  if (!cost.known) {
    return false;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double seconds =
      static_cast<double>(cost.heartbeat.count()) / kMicrosPerSecond;
  const double bytes_per_second = static_cast<double>(cost.upstreams) *
                                  static_cast<double>(cost.routers) *
                                  options.record_bytes / seconds;
  return bytes_per_second <=
         cost.store_bytes_per_second * options.max_store_share;
}

bool TableSubscription::Advance(const TableCost& cost,
                                bool active_or_next,
                                core::TimePoint now) {
  if (active_or_next) {
    m_last_active = now;
  }
  const bool recently_active =
      m_last_active && now - *m_last_active < m_options.keep_following;
  m_follows = recently_active || StoreCanServeAll(cost, m_options);
  return m_follows;
}

}  // namespace coppervalve::entry
