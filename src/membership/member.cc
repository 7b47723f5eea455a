#include "coppervalve/membership/member.h"

namespace coppervalve::membership {

std::string RendezvousName(const MemberId& id) {
  return id.router.value() + '#' + std::to_string(id.incarnation.value());
}

}  // namespace coppervalve::membership
