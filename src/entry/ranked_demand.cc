#include "coppervalve/entry/ranked_demand.h"

namespace coppervalve::entry {

// If urgent requests are most of the demand, the few tokens of the other
// requests cannot cover it: reserving them would serve few more urgent requests
// and refuse all others.
double RankedDemand::MoreUrgentPerSecond(uint8_t rank,
                                         double max_share,
                                         core::TimePoint now) const {
  double all = 0;
  for (const auto& [other, demand] : m_by_rank) {
    all += demand.PerSecond(now);
  }
  double urgent = 0;
  for (const auto& [other, demand] : m_by_rank) {
    const double with_it = urgent + demand.PerSecond(now);
    if (other >= rank || with_it > max_share * all) {
      break;
    }
    urgent = with_it;
  }
  return urgent;
}

}  // namespace coppervalve::entry
