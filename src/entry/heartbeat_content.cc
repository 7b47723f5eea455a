#include "coppervalve/entry/heartbeat_content.h"

#include <utility>  // move

namespace coppervalve::entry {

namespace {

// Other writers determine how many services the table names. All active
// routers write this every 0.6 s, and all routers read it.
constexpr size_t kMaxVersionBytes = 16'384;
// Readers only need to know whether a service had another version than the one
// that they list.
constexpr size_t kMaxVersionsOfService = 2;

v1::ServiceVersions ToStatement(
    const core::ServiceId& service,
    const std::map<core::UpstreamVersion, size_t>& counts) {
  v1::ServiceVersions stated;
  stated.set_service(service.value());
  for (const auto& [version, count] : counts) {
    if (static_cast<size_t>(stated.versions_size()) == kMaxVersionsOfService) {
      break;
    }
    stated.add_versions(version.value());
  }
  return stated;
}

}  // namespace

void StateVersions(
    const UpstreamDirectory::VersionCounts& versions,
    const std::function<bool(const core::ServiceId&)>& is_configured,
    int64_t listed_at_s,
    v1::RouterBeat& beat) {
  beat.set_versions_listed_at_s(listed_at_s);
  size_t bytes = 0;
  for (const bool configured : {true, false}) {
    for (const auto& [service, counts] : versions) {
      if (is_configured(service) != configured) {
        continue;
      }
      v1::ServiceVersions stated = ToStatement(service, counts);
      bytes += stated.ByteSizeLong();
      if (bytes > kMaxVersionBytes) {
        beat.set_versions_incomplete(true);
        return;
      }
      *beat.add_service_versions() = std::move(stated);
    }
  }
}

// A reader that does not know all versions refuses to resume some streams; one
// that lacks reports of crashes lets more upstreams crash.
HeartbeatOmissions FitHeartbeat(size_t max_bytes, v1::RouterBeat& beat) {
  if (beat.ByteSizeLong() > max_bytes && beat.service_versions_size() != 0) {
    beat.clear_service_versions();
    beat.set_versions_incomplete(true);
  }
  HeartbeatOmissions omitted;
  omitted.versions = beat.versions_incomplete();
  // The most important reports come first.
  while (beat.ByteSizeLong() > max_bytes && beat.crashes_size() != 0) {
    beat.mutable_crashes()->RemoveLast();
    ++omitted.crashes;
  }
  return omitted;
}

}  // namespace coppervalve::entry
