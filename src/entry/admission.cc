#include "coppervalve/entry/admission.h"

#include <algorithm>  // min

namespace coppervalve::entry {

namespace {

// A router that was disconnected may lack routes and keys that are in force by
// now. Instead of a final rejection it returns a retryable error, so that the
// caller retries or uses an up-to-date router.
core::Error NotFoundOrStale(core::ErrorId id, const char* what, bool fresh) {
  if (fresh) {
    return {id, "request", what};
  }
  return {core::ErrorId::kConfigurationStale, "request", what};
}

}  // namespace

core::Result<Admitted> Admit(const ConfigurationView& view,
                             const RequestFacts& facts,
                             uint64_t draw) {
  if (!view.configuration_index) {
    return core::Error{core::ErrorId::kNotReady, "router",
                       "no configuration yet"};
  }
  Admitted admitted;
  admitted.configuration_index = view.configuration_index;
  admitted.configuration_age = view.age;
  admitted.route =
      view.configuration_index->FindRoute(facts.host, facts.target);
  if (admitted.route == nullptr) {
    return NotFoundOrStale(core::ErrorId::kNotFound, "no rule matches",
                           view.fresh);
  }
  const Route& route = *admitted.route;
  if (!route.is_public && view.configuration_index->has_accounts()) {
    admitted.account = view.configuration_index->FindAccount(facts.key);
    if (admitted.account == nullptr) {
      return NotFoundOrStale(core::ErrorId::kUnauthorized, "unknown key",
                             view.fresh);
    }
    if (view.keys_expired) {
      return core::Error{core::ErrorId::kConfigurationStale, "request",
                         "the key may have been revoked"};
    }
  }
  admitted.service = ChooseService(route, draw);
  admitted.limit = route.timeout;
  if (facts.caller_timeout > core::Duration::zero()) {
    admitted.limit = std::min(admitted.limit, facts.caller_timeout);
  }
  admitted.priority = route.priority;
  if (admitted.account != nullptr && admitted.account->priority) {
    admitted.priority = *admitted.account->priority;
  }
  return admitted;
}

}  // namespace coppervalve::entry
