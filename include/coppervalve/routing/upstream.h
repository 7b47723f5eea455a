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

/// @brief Configured properties of an upstream.
struct UpstreamInfo {
  core::UpstreamId id;
  std::string address;  ///< "ip:port"
  v1::UpstreamKind kind = v1::MODEL_ENGINE;
  core::FailureDomainId failure_domain;
  std::vector<core::ModelId> models;  ///< model engines
  core::ServiceId service;            ///< plain services
  uint32_t max_concurrency = 64;      ///< hard cap on this router's attempts
  bool checks_fencing = false;
  bool repeatable = false;

  friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

/// @brief Load of an upstream over all routers, as reported by it with some
/// delay.
struct LoadReport {
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// @brief How an attempt failed after its first byte was sent.
enum class FailureKind : uint8_t {
  kError,     ///< the upstream server error, or connection closed
  kSilent,    ///< a timeout expired before the first or the next token
  kProtocol,  ///< the answer was malformed
};

/// @brief Whether an upstream is given requests.
enum class HealthState : uint8_t {
  kHealthy,
  kSlowStart,  ///< readmitted after an ejection: its share of load ramps up
  kEjected,    ///< gets no requests; probed with exponential backoff
};

/// @brief Whether a candidate can be chosen now, and why not.
enum class Usability : uint8_t {
  kUsable,
  kBusy,        ///< at its concurrency limit for this class
  kHeldOff,     ///< declined a request; paused for the requested time
  kLastResort,  ///< ejected only for its error ratio; still answers some
                ///< requests
  kEjected,
  kLeaving,
};

std::string_view ToString(HealthState state);
std::string_view ToString(Usability usability);

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_UPSTREAM_H_
