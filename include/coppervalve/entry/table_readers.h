#ifndef COPPERVALVE_ENTRY_TABLE_READERS_H_
#define COPPERVALVE_ENTRY_TABLE_READERS_H_

#include <cstddef>   // size_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What following the table of upstreams costs the durable store.
struct TableCost {
  bool known = true;  ///< how many upstreams and routers there are
  size_t upstreams = 0;
  size_t routers = 1;
  core::Duration heartbeat{};  ///< between records of one upstream
  /// That all readers share; 0 = not said.
  double store_bytes_per_second = 0;
};

/// @brief Constants of who follows the table.
struct TableReadersOptions {
  double record_bytes = 260;
  /// Up to this part of what the store can send, everybody follows.
  double most_of_store = 0.5;
  /// A router that was led callers gets some of them for so long, as they keep
  /// addresses.
  core::Duration keep{8'000'000};
};

/// @return whether the store can surely send the table to every router
bool AllMayFollow(const TableCost& cost, const TableReadersOptions& options);

/// @brief Whether this router follows the table of upstreams.
///
/// Almost all records say only that an upstream lives, and there are as many as
/// upstreams, for every reader. In a large fleet that is more than the store
/// can send: what matters then comes seconds late to all. So only those follow
/// that callers are led to, or would be if as many more were needed; the others
/// read the table when their turn comes.
class TableReaders {
 public:
  explicit TableReaders(TableReadersOptions options = {})
      : m_options(options) {}

  /// @param in_turn this router is active, or next to be
  /// @return whether it follows now
  bool Advance(const TableCost& cost, bool in_turn, core::TimePoint now);
  bool follows() const { return m_follows; }

 private:
  TableReadersOptions m_options;
  std::optional<core::TimePoint> m_last_turn;
  bool m_follows = true;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_TABLE_READERS_H_
