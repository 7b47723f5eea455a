#ifndef COPPERVALVE_GATEWAY_GATEWAY_METRICS_H_
#define COPPERVALVE_GATEWAY_GATEWAY_METRICS_H_

#include <cstdint>      // uint64_t
#include <memory>       // unique_ptr
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/configuration.h"

namespace coppervalve::gateway {

/// @brief Current state of the process, sampled for each scrape.
struct ProcessStats {
  core::ConfigVersion version;
  core::Duration configuration_age{};
  /// How long the read in progress has taken; 0 without one.
  core::Duration configuration_call{};
  core::Duration upstream_table_call{};
  core::Duration heartbeat_call{};
  uint32_t routers = 0;
  uint32_t active_routers = 0;
  bool active = false;
  uint64_t upstreams = 0;
  uint64_t upstream_connections = 0;
  uint64_t log_lines_left_out = 0;
  bool ready = false;
  bool store_up = false;
  uint64_t quarantined_requests = 0;  ///< identified by their content
  uint64_t quarantined_parts = 0;     ///< of prompts
  bool follows_upstreams = true;      ///< whether this router reads their table
  core::Duration upstream_table_age{};  ///< 0 while it is not read
  uint64_t evacuated_domains = 0;
  uint64_t limited_upstreams = 0;  ///< with a declared rate limit
  /// Longest possible delay between the start of an evacuation and its receipt
  /// by this router.
  core::Duration evacuation_known_within{};
  double held_ahead = 1;             ///< AllocationLedger::HoldFactor()
  uint64_t relayed_connections = 0;  ///< opened through other routers
  uint64_t services_out_of_reach = 0;
  uint64_t relayed_for_others = 0;  ///< connections at present
  uint64_t caller_connections = 0;  ///< at present
  uint64_t caller_bytes = 0;        ///< held for them at present
  uint64_t resident_bytes = 0;      ///< of the process
  uint64_t unavailable_ports = 0;   ///< not opened yet
  uint64_t heartbeat_bytes = 0;     ///< of the last one that was written
  bool heartbeat_reduced = false;   ///< it lacks parts that did not fit
};

/// @brief Metrics of a router, documented in docs/OPERATIONS.md.
class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();

  /// @param cause name of the error or rule that decided; "served" for a
  /// complete response
  void OnRequest(entry::RouteKind kind, std::string_view cause);
  void OnFirstByte(entry::RouteKind kind, core::Duration since_arrival);
  void OnServed(entry::RouteKind kind, core::Duration since_arrival);
  void OnAttempt(std::string_view outcome);
  /// @param way "taken", "given", "none_to_spare" or "repeated"
  void OnTransfer(std::string_view way);
  /// @brief Another router chose the upstream of a request.
  /// @param outdated that router's table may name upstreams that have left
  void OnPeerPlacement(bool outdated);
  /// @brief Another router asked for a connection to an upstream.
  void OnRelay(bool accepted);
  void OnConnectionEnded(std::string_view limit);
  void OnGrantWait(core::Duration waited);
  void OnStoreCall(std::string_view topic, bool answered);
  void OnAccount(const core::AccountId& account,
                 const entry::AllocationLedger::Figures& figures);
  void OnProcess(const ProcessStats& stats);

  /// @return all metrics in the Prometheus text format
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// @return "idempotent", "at_most_once" or "stream"
std::string_view ToString(entry::RouteKind kind);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_GATEWAY_METRICS_H_
