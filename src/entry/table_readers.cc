#include "coppervalve/entry/table_readers.h"

namespace coppervalve::entry {

bool AllMayFollow(const TableCost& cost, const TableReadersOptions& options) {
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
         cost.store_bytes_per_second * options.most_of_store;
}

bool TableReaders::Advance(const TableCost& cost,
                           bool in_turn,
                           core::TimePoint now) {
  if (in_turn) {
    m_last_turn = now;
  }
  const bool lately = m_last_turn && now - *m_last_turn < m_options.keep;
  m_follows = lately || AllMayFollow(cost, m_options);
  return m_follows;
}

}  // namespace coppervalve::entry
