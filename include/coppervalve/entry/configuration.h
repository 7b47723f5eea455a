#ifndef COPPERVALVE_ENTRY_CONFIGURATION_H_
#define COPPERVALVE_ENTRY_CONFIGURATION_H_

#include <cstdint>   // uint8_t, uint32_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Whether a request may be repeated.
enum class RouteKind : uint8_t {
  kIdempotent,  ///< may run more than once
  kAtMostOnce,  ///< must not run more than once
  kStream,      ///< server-sent events; at most once unless `resumable`
};

/// @brief A service and its weight among the services of a route.
struct WeightedService {
  core::ServiceId service;
  uint32_t weight = 1;
};

/// @brief A routing rule: requests that match the host and the path prefix go
/// to these services. Among the rules of a host the longest matching prefix
/// applies.
struct Route {
  core::RuleId name;
  std::string host;
  std::string prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kAtMostOnce;
  bool resumable = false;
  bool is_public = false;  ///< no API key required
  bool prefix_affinity = false;
  uint32_t max_attempts = 1;  ///< upstreams that one request may be sent to
  uint8_t priority = 0;       ///< 0 is the most urgent
  core::Duration timeout{};
  core::Duration target_latency{};
  core::Duration target_gap{};  ///< between events of a stream; 0 = no target
  std::vector<WeightedService> services;
};

/// @brief Properties of the model engines of a service.
struct EngineFacts {
  uint32_t tokens_per_event = 1;
};

/// @brief How long upstreams of a service are cold after a start, and the
/// request rate they can handle meanwhile.
struct WarmUp {
  core::Duration duration{};  ///< after a start
  double per_second = 0;      ///< requests that a cold upstream can handle
};

/// @brief A group of upstreams.
struct Service {
  core::ServiceId name;
  uint32_t max_connections = 0;  ///< from all routers together; 0 = unlimited
  std::optional<EngineFacts> engine;
  std::optional<WarmUp> warm_up;  ///< absent: warm as soon as it starts
};

/// @brief A client account.
struct Account {
  core::AccountId name;
  std::vector<std::string> keys;
  std::optional<uint8_t> priority;  ///< overrides the route's priority
  /// Total tokens that the account may use, including top-ups. Unlimited if
  /// absent.
  std::optional<core::Tokens> prepaid;
};

/// @brief Limits on the size and the duration of a caller's request.
struct CallerBounds {
  core::Bytes header{16'384};
  core::Bytes body{4'194'304};
  core::Duration header_time{3'000'000};
  core::Duration idle_time{15'000'000};
};

/// @brief A complete configuration as operators publish it.
struct Configuration {
  core::ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Account> accounts;
  CallerBounds bounds;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CONFIGURATION_H_
