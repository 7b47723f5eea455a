#ifndef COPPERVALVE_ENTRY_CONFIGURATION_H_
#define COPPERVALVE_ENTRY_CONFIGURATION_H_

#include <cstdint>   // uint8_t, uint32_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What may be repeated of a request.
enum class RouteKind : uint8_t {
  kIdempotent,  ///< may run more than once
  kAtMostOnce,  ///< runs once at most
  kStream,      ///< server-sent events; at most once unless `resumable`
};

/// @brief A service with its share of a route's requests.
struct WeightedService {
  core::ServiceId service;
  uint32_t weight = 1;
};

/// @brief One when-then rule: when host and path prefix match, then these
/// services. Among the rules of a host the longest matching prefix decides.
struct Route {
  core::RuleId name;
  std::string host;
  std::string prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kAtMostOnce;
  bool resumable = false;
  bool is_public = false;  ///< needs no key
  bool prefix_affinity = false;
  uint32_t max_attempts = 1;  ///< upstreams one request may be sent to
  uint8_t priority = 0;       ///< 0 first
  core::Duration timeout{};
  core::Duration target_latency{};
  core::Duration target_gap{};  ///< between events of a stream; 0 = none
  std::vector<WeightedService> services;
};

/// @brief What is known of the model engines of a service.
struct EngineFacts {
  uint32_t tokens_per_event = 1;
};

/// @brief How upstreams of a service become as fast as they can be.
struct WarmUp {
  core::Duration lasts{};  ///< after a start
  double per_second = 0;   ///< requests that a cold one bears
};

/// @brief A group of upstreams.
struct Service {
  core::ServiceId name;
  uint32_t max_connections = 0;  ///< from all routers together; 0 = no bound
  std::optional<EngineFacts> engine;
  std::optional<WarmUp> warm_up;  ///< absent: warm from the start
};

/// @brief A client account.
struct Account {
  core::AccountId name;
  std::vector<std::string> keys;
  std::optional<uint8_t> priority;  ///< goes before the route's
  /// All that the account may use; grows with top-ups. Absent: unlimited.
  std::optional<core::Tokens> prepaid;
};

/// @brief Bounds on what a caller may send and how long it may take.
struct CallerBounds {
  core::Bytes header{16'384};
  core::Bytes body{4'194'304};
  core::Duration header_time{3'000'000};
  core::Duration idle_time{15'000'000};
};

/// @brief What operators publish, whole.
struct Configuration {
  core::ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Account> accounts;
  CallerBounds bounds;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CONFIGURATION_H_
