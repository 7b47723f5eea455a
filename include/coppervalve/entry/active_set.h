#ifndef COPPERVALVE_ENTRY_ACTIVE_SET_H_
#define COPPERVALVE_ENTRY_ACTIVE_SET_H_

#include <cstddef>  // size_t
#include <vector>   // vector

#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief A router that could take callers.
struct Candidate {
  core::RouterId router;
  core::FailureDomainId failure_domain;
  double capacity = 0;  ///< requests a second that it takes with ease
};

/// @brief What the chosen routers must be able to do together.
struct ActiveNeed {
  double requests_per_second = 0;
  size_t least = 8;  ///< routers, where there are as many
};

/// @brief Chooses the routers that callers are led to: the most capable of each
/// failure domain in turn, until they can take the load. The rest stand by.
/// The same input gives the same choice at every router.
/// @complexity n log n in the candidates
std::vector<Candidate> ChooseInOrder(std::vector<Candidate> candidates,
                                     const ActiveNeed& need);

/// @brief The names of those, in the same order.
std::vector<core::RouterId> ChooseActive(std::vector<Candidate> candidates,
                                         const ActiveNeed& need);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ACTIVE_SET_H_
