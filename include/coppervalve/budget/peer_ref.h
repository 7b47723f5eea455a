#ifndef COPPERVALVE_BUDGET_PEER_REF_H_
#define COPPERVALVE_BUDGET_PEER_REF_H_

#include <tuple>  // tie

#include "coppervalve/core/ids.h"

namespace coppervalve::budget {

/// @brief Identifies one incarnation of a router. A restarted peer has a
/// different PeerRef.
struct PeerRef {
  core::RouterId router;
  core::Incarnation incarnation;

  friend bool operator==(const PeerRef&, const PeerRef&) = default;
  friend bool operator<(const PeerRef& a, const PeerRef& b) {
    return std::tie(a.router, a.incarnation) <
           std::tie(b.router, b.incarnation);
  }
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_PEER_REF_H_
