#include "coppervalve/entry/admission.h"

#include <algorithm>  // min

namespace coppervalve::entry {

namespace {

// A router that was cut off may lack routes and keys that are in force by now.
// A final "no" from it would be false, so it says "not now": the caller comes
// back, or goes to a router that knows.
core::Error Unknown(core::ErrorId id, const char* what, bool fresh) {
  if (fresh) {
    return {id, "request", what};
  }
  return {core::ErrorId::kConfigurationStale, "request", what};
}

}  // namespace

core::Result<Admitted> Admit(const ConfigurationView& view,
                             const RequestFacts& facts,
                             uint64_t draw) {
  if (!view.in_force) {
    return core::Error{core::ErrorId::kNotReady, "router",
                       "no configuration yet"};
  }
  Admitted admitted;
  admitted.in_force = view.in_force;
  admitted.route = view.in_force->FindRoute(facts.host, facts.target);
  if (admitted.route == nullptr) {
    return Unknown(core::ErrorId::kNotFound, "no rule matches", view.fresh);
  }
  const Route& route = *admitted.route;
  if (!route.is_public && view.in_force->has_accounts()) {
    admitted.account = view.in_force->FindAccount(facts.key);
    if (admitted.account == nullptr) {
      return Unknown(core::ErrorId::kUnauthorized, "unknown key", view.fresh);
    }
    if (view.keys_expired) {
      return core::Error{core::ErrorId::kConfigurationStale, "request",
                         "keys may have been taken away"};
    }
  }
  admitted.service = ChooseService(route, draw);
  admitted.limit = route.timeout;
  if (facts.patience > core::Duration::zero()) {
    admitted.limit = std::min(admitted.limit, facts.patience);
  }
  admitted.priority = route.priority;
  if (admitted.account != nullptr && admitted.account->priority) {
    admitted.priority = *admitted.account->priority;
  }
  return admitted;
}

}  // namespace coppervalve::entry
