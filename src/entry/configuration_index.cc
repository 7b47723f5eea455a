#include "coppervalve/entry/configuration_index.h"

#include <algorithm>  // min, stable_sort
#include <utility>    // move

namespace coppervalve::entry {

ConfigurationIndex::ConfigurationIndex(Configuration configuration)
    : m_configuration(std::move(configuration)) {
  for (const Route& route : m_configuration.routes) {
    m_routes[route.host].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const Account& account : m_configuration.accounts) {
    for (const std::string& key : account.keys) {
      m_accounts[key] = &account;
    }
  }
  for (const Service& service : m_configuration.services) {
    m_services[service.name] = &service;
  }
  for (const Route& route : m_configuration.routes) {
    for (const WeightedService& target : route.services) {
      AddObjective(target.service, route);
    }
  }
}

void ConfigurationIndex::AddObjective(const core::ServiceId& service,
                                      const Route& route) {
  if (route.target_latency <= core::Duration::zero()) {
    return;
  }
  core::Duration& shortest = m_objectives[service]
                                 .emplace(route.priority, route.target_latency)
                                 .first->second;
  shortest = std::min(shortest, route.target_latency);
}

core::Duration ConfigurationIndex::ObjectiveOf(const core::ServiceId& service,
                                               uint8_t priority) const {
  const auto found = m_objectives.find(service);
  if (found == m_objectives.end()) {
    return core::Duration::zero();
  }
  core::Duration shortest = core::Duration::max();
  for (const auto& [rank, objective] : found->second) {
    if (rank <= priority) {
      shortest = std::min(shortest, objective);
    }
  }
  return shortest == core::Duration::max() ? core::Duration::zero() : shortest;
}

const Route* ConfigurationIndex::FindRoute(std::string_view host,
                                           std::string_view target) const {
  auto found = m_routes.find(std::string(host));
  if (found == m_routes.end()) {
    found = m_routes.find(std::string(host.substr(0, host.find(':'))));
  }
  if (found == m_routes.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const Account* ConfigurationIndex::FindAccount(const std::string& key) const {
  const auto found = m_accounts.find(key);
  return found == m_accounts.end() ? nullptr : found->second;
}

const Service* ConfigurationIndex::FindService(
    const core::ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : found->second;
}

core::ServiceId ChooseService(const Route& route, uint64_t draw) {
  uint64_t total = 0;
  for (const WeightedService& target : route.services) {
    total += target.weight;
  }
  if (total == 0) {
    return {};
  }
  uint64_t left = draw % total;
  for (const WeightedService& target : route.services) {
    if (left < target.weight) {
      return target.service;
    }
    left -= target.weight;
  }
  return {};
}

}  // namespace coppervalve::entry
