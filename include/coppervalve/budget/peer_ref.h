#ifndef COPPERVALVE_BUDGET_PEER_REF_H_
#define COPPERVALVE_BUDGET_PEER_REF_H_

#include <compare>  // operator<=>

#include "coppervalve/core/ids.h"

namespace coppervalve::budget {

/// @brief One start of one router: a restarted peer is another PeerRef.
struct PeerRef {
  core::RouterId router;
  core::Incarnation incarnation;

  friend auto operator<=>(const PeerRef&, const PeerRef&) = default;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_PEER_REF_H_
