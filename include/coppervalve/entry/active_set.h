#ifndef COPPERVALVE_ENTRY_ACTIVE_SET_H_
#define COPPERVALVE_ENTRY_ACTIVE_SET_H_

#include <cstddef>  // size_t
#include <vector>   // vector

#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief A router that may become active.
struct Candidate {
  core::RouterId router;
  core::FailureDomainId failure_domain;
  /// Requests per second that it serves with room for bursts.
  double capacity = 0;
};

/// @brief Requirements on the set of active routers.
struct ActiveSetRequirements {
  double requests_per_second = 0;
  size_t min_routers = 8;  ///< routers, if there are that many candidates
};

/// @brief Selects the active routers, which receive callers: the router with
/// the highest capacity of each failure domain in turn, until the requirements
/// are met. The others are standbys. Deterministic: the same input gives the
/// same selection on every router.
/// @return the selected candidates in order of selection
/// @complexity n log n in the candidates
std::vector<Candidate> SelectActive(std::vector<Candidate> candidates,
                                    const ActiveSetRequirements& requirements);

/// @brief The names of the selected routers, in the same order.
std::vector<core::RouterId> SelectActiveNames(
    std::vector<Candidate> candidates,
    const ActiveSetRequirements& requirements);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ACTIVE_SET_H_
