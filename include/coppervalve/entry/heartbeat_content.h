#ifndef COPPERVALVE_ENTRY_HEARTBEAT_CONTENT_H_
#define COPPERVALVE_ENTRY_HEARTBEAT_CONTENT_H_

#include <cstddef>     // size_t
#include <cstdint>     // int64_t
#include <functional>  // function

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry {

/// @brief States the software versions of each service in a heartbeat, within a
/// fixed number of bytes. Services that callers can reach come first; if others
/// are left out, the heartbeat says that its list is incomplete.
/// @param listed_at_s time of day of the list, in seconds since 1970
/// @complexity linear in the services of the table
void StateVersions(
    const UpstreamDirectory::VersionCounts& versions,
    const std::function<bool(const core::ServiceId&)>& is_configured,
    int64_t listed_at_s,
    v1::RouterBeat& beat);

/// @brief What a heartbeat lacks to be small enough.
struct HeartbeatOmissions {
  bool versions = false;  ///< of some or all services
  size_t crashes = 0;
  bool operator==(const HeartbeatOmissions&) const = default;
};

/// @brief Leaves out of a heartbeat what neither membership nor claims need,
/// until it has at most `max_bytes`, or nothing is left to leave out.
HeartbeatOmissions FitHeartbeat(size_t max_bytes, v1::RouterBeat& beat);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_HEARTBEAT_CONTENT_H_
