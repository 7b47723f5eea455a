#ifndef COPPERVALVE_ENTRY_UPSTREAM_REACH_H_
#define COPPERVALVE_ENTRY_UPSTREAM_REACH_H_

#include <cstddef>        // size_t
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Constants of UpstreamReach.
struct ReachOptions {
  /// Failures this far apart are not of the same partition.
  core::Duration evidence_time{3'000'000};
  /// Upstreams of a service that have to fail, if it has as many. More than
  /// usually crash together.
  size_t evidence_count = 4;
  /// Time between two checks whether a partition is over.
  core::Duration check_interval{500'000};
  /// A service without requests for this long is not checked.
  core::Duration idle_time{5'000'000};
};

/// @brief Which services this router has lost its own connection to, judged by
/// the connections that it opens.
///
/// A single upstream that can't be reached may have crashed. If several of a
/// service can't, and none in between could, the network of this router may be
/// partitioned; other routers may still reach them.
class UpstreamReach {
 public:
  explicit UpstreamReach(ReachOptions options = {}) : m_options(options) {}

  /// @brief A connection to an upstream of the service was opened directly.
  /// @return whether that ends a partition
  bool OnOpened(const core::ServiceId& service);
  /// @brief A connection could not be opened directly.
  /// @param upstreams number of upstreams of the service that may get
  /// requests; 0: unknown
  /// @return whether that shows a partition that was not known
  bool OnFailed(const core::ServiceId& service,
                const core::UpstreamId& upstream,
                size_t upstreams,
                core::TimePoint now);
  /// @return whether so many upstreams failed that a connection to another one
  /// should be opened, to find out whether they crashed or are out of reach
  /// @param upstreams as for OnFailed()
  bool ShouldProbe(const core::ServiceId& service, size_t upstreams) const;
  bool HasFailed(const core::ServiceId& service,
                 const core::UpstreamId& upstream) const;
  /// @brief Another router reached an upstream of the service.
  /// @param address of the upstream
  void OnReachedByPeer(const core::ServiceId& service,
                       const std::string& address,
                       core::TimePoint now);

  bool IsPartitioned(const core::ServiceId& service) const;
  /// @return number of services
  size_t partitioned() const;

  struct Check {
    core::ServiceId service;
    std::string address;
  };
  /// @return addresses to which a connection should be opened now, to find out
  /// whether the partition is over. Only upstreams that others reach are
  /// checked.
  std::vector<Check> TakeDueChecks(core::TimePoint now);
  /// @return services of which no router has reached an upstream. A connection
  /// to any of their upstreams should be opened now: all of them may have
  /// crashed and be back.
  std::vector<core::ServiceId> TakeDueProbes(core::TimePoint now);

 private:
  struct State {
    std::unordered_map<core::UpstreamId, core::TimePoint> failed;
    bool partitioned = false;
    std::string reached_by_peer;  ///< address; empty: none
    core::TimePoint last_request{};
    core::TimePoint next_check{};
  };

  bool IsDue(const State& state, core::TimePoint now) const;

  ReachOptions m_options;
  std::unordered_map<core::ServiceId, State> m_services;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_REACH_H_
