#include "coppervalve/routing/upstream.h"

namespace coppervalve::routing {

std::string_view ToString(HealthState state) {
  switch (state) {
    case HealthState::kHealthy:
      return "healthy";
    case HealthState::kSlowStart:
      return "slow_start";
    case HealthState::kEjected:
      return "ejected";
  }
  return "unknown";
}

std::string_view ToString(Usability usability) {
  switch (usability) {
    case Usability::kUsable:
      return "usable";
    case Usability::kBusy:
      return "busy";
    case Usability::kHeldOff:
      return "held_off";
    case Usability::kLastResort:
      return "last_resort";
    case Usability::kEjected:
      return "ejected";
    case Usability::kLeaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace coppervalve::routing
