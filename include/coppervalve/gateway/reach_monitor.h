#ifndef COPPERVALVE_GATEWAY_REACH_MONITOR_H_
#define COPPERVALVE_GATEWAY_REACH_MONITOR_H_

#include <cstddef>     // size_t
#include <functional>  // function
#include <optional>    // optional
#include <set>         // set
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/relay_choice.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_gate.h"
#include "coppervalve/entry/upstream_reach.h"
#include "coppervalve/gateway/connect_attempt.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/relay_tunnel.h"
#include "coppervalve/gateway/upstream_pool.h"

namespace coppervalve::gateway {

/// @brief Directs new connections to upstreams through other routers while this
/// router's own network is partitioned from them.
class ReachMonitor {
 public:
  /// Whether an upstream accepts connections after a response ended.
  enum class EndCheck : uint8_t { kAccepts, kRefuses, kUnknown };

  /// Objects that outlive the monitor.
  struct Context {
    const Dialer& dialer;
    entry::UpstreamDirectory& directory;
    const entry::UpstreamGate& gate;
    UpstreamPool& pool;
    EventLog& log;
    /// "ip:port" of the other routers that may relay.
    std::function<std::vector<std::string>()> active_peers;
    /// Those that may if no active one does.
    std::function<std::vector<std::string>()> standby_peers;
    routing::RandomSource random;
  };

  explicit ReachMonitor(Context context);

  /// @param avoided routers that are chosen only if there is no other
  /// @return the router through which a connection to the upstream should be
  /// opened; none: it should be opened directly
  std::optional<std::string> RelayFor(const entry::UpstreamEntry& upstream,
                                      const std::vector<std::string>& avoided,
                                      core::TimePoint now) const;
  /// @return whether any router but the avoided ones could relay
  bool HasRelayBut(const std::vector<std::string>& avoided,
                   core::TimePoint now) const {
    return ChooseRelay(avoided, now).has_value();
  }
  /// @return whether neither this router nor any that could relay has reached
  /// the service recently; false if there is no other router
  bool NobodyReaches(const core::ServiceId& service, core::TimePoint now) const;
  /// @brief A connection was opened.
  /// @param relay empty if it was opened directly
  void OnOpened(const entry::UpstreamEntry& upstream,
                const std::string& relay,
                core::TimePoint now);
  /// @brief A connection could not be opened directly.
  void OnFailed(const entry::UpstreamEntry& upstream, core::TimePoint now);
  /// @brief A router could not or would not relay.
  void OnRelayFailed(const std::string& relay, core::TimePoint now);
  /// @brief Finds out whether an upstream that refused a connection of this
  /// router refuses those of others.
  /// @param on_refused called if it refuses those of two others, or of one if
  /// no more can be asked, or if there is no other router
  void AskOthers(const entry::UpstreamEntry& upstream,
                 std::function<void()> on_refused);
  /// @brief Finds out whether an upstream still accepts connections.
  /// @param relay the router through which it was reached; empty: none
  /// @param on_done called once, never from within the call
  void CheckRefuses(const entry::UpstreamEntry& upstream,
                    const std::string& relay,
                    std::function<void(EndCheck)> on_done);
  bool IsPartitioned(const core::ServiceId& service) const {
    return m_reach.IsPartitioned(service);
  }
  /// @return number of services
  size_t partitioned() const { return m_reach.partitioned(); }
  /// @brief Checks whether partitions are over. To be called periodically.
  void Advance(core::TimePoint now);

 private:
  void OnReached(const core::ServiceId& service);
  bool IsUsable(const entry::Upstream& upstream, core::TimePoint now) const;
  size_t CountUsable(const core::ServiceId& service, core::TimePoint now) const;
  void ProbeAnother(const core::ServiceId& service, core::TimePoint now);
  void OnProbed(const entry::UpstreamEntry& upstream, bool opened);
  void CheckReach(const core::ServiceId& service, const std::string& address);
  std::optional<std::string> ChooseRelay(
      const std::vector<std::string>& excluded,
      core::TimePoint now) const;
  using OnChecked = std::function<void(EndCheck, std::optional<RelayResult>)>;
  void OpenToCheck(const std::string& relay,
                   const core::UpstreamId& upstream,
                   OnChecked on_checked);
  void CheckThrough(const std::string& relay,
                    const core::UpstreamId& upstream,
                    std::vector<std::string> asked,
                    std::function<void(EndCheck)> on_done);
  struct Opinions {
    std::vector<std::string> asked;
    size_t refusals = 0;
  };
  void AskNext(const entry::UpstreamEntry& upstream,
               std::function<void()> on_refused,
               Opinions opinions);
  void OnPartitioned(const core::ServiceId& service);
  void Log(LogLine line, const core::ServiceId& service);
  size_t RelayCount() const;

  Context m_context;
  entry::UpstreamReach m_reach;
  entry::RelayChoice m_relays;
  std::set<core::ServiceId> m_probed;  ///< a probe is in progress
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_REACH_MONITOR_H_
