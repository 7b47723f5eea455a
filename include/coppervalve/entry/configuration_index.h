#ifndef COPPERVALVE_ENTRY_CONFIGURATION_INDEX_H_
#define COPPERVALVE_ENTRY_CONFIGURATION_INDEX_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <map>            // map
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/entry/configuration.h"

namespace coppervalve::entry {

/// @brief A configuration with lookup tables. Immutable; a request uses the
/// same one from start to end.
class ConfigurationIndex {
 public:
  explicit ConfigurationIndex(Configuration configuration);
  ConfigurationIndex(const ConfigurationIndex&) = delete;
  ConfigurationIndex& operator=(const ConfigurationIndex&) = delete;

  const Configuration& configuration() const { return m_configuration; }
  core::ConfigVersion version() const { return m_configuration.version; }
  bool has_accounts() const { return !m_configuration.accounts.empty(); }

  /// @brief Finds the rule of the host with the longest matching path prefix.
  /// @param host Host header of the request, with or without a port
  /// @param target path with or without a query
  /// @return null if no rule matches
  /// @complexity linear in the rules of that host
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  /// @return the account that owns the key; null for an unknown key
  const Account* FindAccount(const std::string& key) const;
  const Service* FindService(const core::ServiceId& service) const;
  /// @return the shortest latency objective among the service's routes of this
  /// or a more urgent priority; 0 if none has one
  /// @complexity linear in the priorities in use
  core::Duration ObjectiveOf(const core::ServiceId& service,
                             uint8_t priority) const;

 private:
  void AddObjective(const core::ServiceId& service, const Route& route);

  Configuration m_configuration;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_routes;
  std::unordered_map<std::string, const Account*> m_accounts;
  std::unordered_map<core::ServiceId, const Service*> m_services;
  /// Shortest latency objective by service and route priority.
  std::unordered_map<core::ServiceId, std::map<uint8_t, core::Duration>>
      m_objectives;
};

/// @brief Chooses a service of a route at random by weight.
/// @param draw uniformly distributed random bits
/// @return empty if the route has none
core::ServiceId ChooseService(const Route& route, uint64_t draw);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CONFIGURATION_INDEX_H_
