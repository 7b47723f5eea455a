#ifndef COPPERVALVE_ROUTING_UPSTREAM_H_
#define COPPERVALVE_ROUTING_UPSTREAM_H_

#include <cstdint>      // uint32_t
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief What the configuration says of an upstream.
struct UpstreamInfo {
  core::UpstreamId id;
  std::string address;  ///< "ip:port"
  v1::UpstreamKind kind = v1::MODEL_ENGINE;
  core::FailureDomainId failure_domain;
  std::vector<core::ModelId> models;  ///< model engines
  core::ServiceId service;            ///< plain services
  uint32_t max_concurrency = 64;      ///< hard cap over this router's attempts
  bool checks_fencing = false;
  bool repeatable = false;

  friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

/// @brief Load as an upstream reports it, over all routers; lags.
struct LoadReport {
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// @brief How an attempt failed after its first byte was sent.
enum class FailureKind : uint8_t {
  kError,     ///< the upstream answered with a server error or closed
  kSilent,    ///< a watchdog fired: no first or no next token
  kProtocol,  ///< the answer made no sense
};

/// @brief Whether an upstream is given work.
enum class HealthState : uint8_t {
  kHealthy,
  kSlowStart,  ///< back from ejection or new: its share of work ramps up
  kEjected,    ///< no work; probed with exponential backoff
};

/// @brief Why a candidate cannot be chosen now.
enum class Usability : uint8_t {
  kUsable,
  kBusy,        ///< at its concurrency limit for this class
  kHeldOff,     ///< declined work and asked for a pause
  kLastResort,  ///< ejected for its error ratio, yet it answers some requests
  kEjected,
  kLeaving,
};

std::string_view ToString(HealthState state);
std::string_view ToString(Usability usability);

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_UPSTREAM_H_
