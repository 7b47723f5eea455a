#ifndef COPPERVALVE_ENTRY_RANKED_DEMAND_H_
#define COPPERVALVE_ENTRY_RANKED_DEMAND_H_

#include <cstdint>  // uint8_t
#include <map>      // map

#include "coppervalve/core/units.h"
#include "coppervalve/entry/demand.h"

namespace coppervalve::entry {

/// @brief Demand for tokens by the rank of the requests.
class RankedDemand {
 public:
  /// @param rank 0 is the most urgent
  /// @complexity logarithmic in the ranks
  void Add(uint8_t rank, core::Tokens tokens, core::TimePoint now) {
    m_by_rank[rank].Add(tokens, now);
  }
  /// @return tokens per second of the ranks more urgent than `rank`, counted
  /// from the most urgent one as long as their sum is at most `max_share` of
  /// the total demand
  /// @complexity linear in the ranks
  double MoreUrgentPerSecond(uint8_t rank,
                             double max_share,
                             core::TimePoint now) const;

 private:
  std::map<uint8_t, Demand> m_by_rank;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RANKED_DEMAND_H_
