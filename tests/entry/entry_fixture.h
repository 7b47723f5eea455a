#ifndef COPPERVALVE_TESTS_ENTRY_ENTRY_FIXTURE_H_
#define COPPERVALVE_TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <string>  // string

#include "coppervalve/core/units.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/store_contact.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry::testing {

inline core::TimePoint At(double seconds) {
  return core::TimePoint(core::Duration(static_cast<int64_t>(seconds * 1e6)));
}

inline UpstreamEntry EntryOf(const std::string& id,
                             const std::string& service = "tickets") {
  UpstreamEntry entry;
  entry.id = core::UpstreamId(id);
  entry.service = core::ServiceId(service);
  entry.address = "10.0.0.1:80";
  entry.failure_domain = core::FailureDomainId("fd-a");
  entry.slots = 6;
  return entry;
}

inline UpstreamRecord RecordOf(const UpstreamEntry& entry) {
  return {entry.id, entry};
}

/// @brief A configuration with only the prepaid account "gate".
inline Configuration Prepaid(int64_t tokens) {
  Configuration configuration;
  Account account;
  account.name = core::AccountId("gate");
  account.prepaid = core::Tokens(tokens);
  configuration.accounts = {account};
  return configuration;
}

/// @brief A configuration with one service whose upstreams warm up for 3 s and
/// can handle 14 requests per second meanwhile.
inline Configuration WarmingUp(const std::string& name) {
  Service service;
  service.name = core::ServiceId(name);
  service.warm_up = WarmUp{core::Duration(3'000'000), 14};
  Configuration configuration;
  configuration.services = {service};
  return configuration;
}

/// @brief A record that contains no readable entry.
inline UpstreamRecord Unreadable(const std::string& id) {
  return {core::UpstreamId(id), std::nullopt};
}

}  // namespace coppervalve::entry::testing

#endif  // COPPERVALVE_TESTS_ENTRY_ENTRY_FIXTURE_H_
