#ifndef COPPERVALVE_TRIAL_FLEET_H_
#define COPPERVALVE_TRIAL_FLEET_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <set>         // set
#include <string>      // string
#include <utility>     // pair
#include <vector>      // vector

#include "coppervalve/core/units.h"
#include "coppervalve/router/settings.h"
#include "coppervalve/trial/engine_orders.h"
#include "coppervalve/trial/fake_log.h"
#include "coppervalve/trial/node.h"
#include "coppervalve/trial/records.h"
#include "coppervalve/trial/timeline.h"

namespace coppervalve::trial {

/// @brief Outcome of an attempt at an upstream.
enum class AttemptOutcome : uint8_t {
  kAnswered,
  kNotSent,    ///< no connection
  kDeclined,   ///< the upstream reports that it did not run
  kTruncated,  ///< ran in part, then the connection closed
  kSilent,     ///< ran, but no reply arrives
};

/// @brief Settings of a simulated fleet.
struct FleetOptions {
  size_t routers = 7;
  uint64_t seed = 1;
  uint64_t log_retain = 0;  ///< entries; 0 keeps all
  budget::SizingPolicy sizing = budget::DefaultSizing();
  logclient::WriterOptions writer;
  core::Duration tick = std::chrono::milliseconds(50);
  core::Duration peer_delay = std::chrono::milliseconds(1);
  core::Duration log_delay = std::chrono::milliseconds(4);
};

/// @brief State of a node's connection to the log.
struct LogLink {
  bool up = true;
  double lose_replies = 0;  ///< probability of losing a reply after the append
  core::Duration extra_delay{};
};

/// @brief Runs real router cores in virtual time against fakes of the log, the
/// network, the upstreams and the callers. It drives the cores through their
/// interface and does not model machines.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void Run(core::Duration duration);
  void StartAll();

  // Operators' actions.
  void Publish(v1::Configuration configuration);
  void TopUp(const core::BudgetId& budget, core::Tokens tokens);

  void Order(const core::UpstreamId& upstream, const std::string& model);
  /// @brief Settles an order after checking the engine.
  void SettleOrder(const core::UpstreamId& upstream,
                   core::FencingNumber fencing);

  // Callers' actions.
  /// @return the index of the new request
  size_t AddRequest(ClientRequest client_request);
  void SetKey(size_t client_request, std::string key) {
    m_client_requests[client_request].key = std::move(key);
  }
  /// @return the index of the new attempt
  size_t Send(size_t client_request, size_t node);
  void CloseClientAttempt(size_t client_attempt);

  // Faults and hooks.
  void SetPartitioned(size_t a, size_t b, bool partitioned);
  void SetPartitionedFromAll(size_t node, bool partitioned);
  bool IsPartitioned(size_t a, size_t b) const;
  LogLink& log_link(size_t node) { return m_log_links[node]; }
  void SetAttemptOutcome(std::function<AttemptOutcome()> attempt_outcome) {
    m_attempt_outcome = std::move(attempt_outcome);
  }
  /// @brief Sets whether engines report the tokens they used.
  void SetReportsUsage(bool reports) { m_reports_usage = reports; }
  bool reports_usage() const { return m_reports_usage; }
  /// @brief Sets whether a router can't connect to any upstream.
  void SetPartitionedFromUpstreams(size_t node, bool partitioned);
  AttemptOutcome NextAttemptOutcome(size_t node);
  /// @brief Called when a client attempt ends.
  void SetOnAttemptEnded(
      std::function<void(size_t client_attempt)> on_attempt_ended) {
    m_on_attempt_ended = std::move(on_attempt_ended);
  }
  /// @brief Called for each log line of a router.
  void SetOnLogLine(
      std::function<void(size_t node, const router::LogLine&)> on_line) {
    m_on_line = std::move(on_line);
  }

  // Interface for the nodes.
  void EndClientAttempt(size_t client_attempt, ClientAttempt::State state);
  size_t RecordExecution(size_t client_attempt, core::Tokens used);
  Node* FindRouter(const core::RouterId& router);
  uint64_t Random();
  double RandomFraction();
  void OnLogLine(size_t node, const router::LogLine& line);

  Timeline& timeline() { return m_timeline; }
  core::TimePoint now() const { return m_timeline.now(); }
  FakeLog& log() { return m_log; }
  EngineOrders& engine_orders() { return m_engine_orders; }
  const FleetOptions& options() const { return m_options; }
  size_t size() const { return m_nodes.size(); }
  Node& node(size_t index) { return *m_nodes[index]; }
  const std::vector<ClientRequest>& client_requests() const {
    return m_client_requests;
  }
  std::vector<ClientAttempt>& client_attempts() { return m_client_attempts; }
  std::vector<Execution>& executions() { return m_executions; }
  uint64_t config_version() const { return m_config_version; }

 private:
  struct RandomGenerator;

  FleetOptions m_options;
  Timeline m_timeline;
  FakeLog m_log;
  EngineOrders m_engine_orders;
  std::unique_ptr<RandomGenerator> m_random_generator;
  std::vector<LogLink> m_log_links;
  std::set<std::pair<size_t, size_t>> m_partitioned_links;
  std::set<size_t> m_partitioned_from_upstreams;
  std::vector<ClientRequest> m_client_requests;
  std::vector<ClientAttempt> m_client_attempts;
  std::vector<Execution> m_executions;
  std::function<AttemptOutcome()> m_attempt_outcome;
  std::function<void(size_t)> m_on_attempt_ended;
  std::function<void(size_t, const router::LogLine&)> m_on_line;
  bool m_reports_usage = true;
  uint64_t m_config_version = 0;
  uint64_t m_top_ups = 0;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

/// @brief Name of the router on a node: "r0", "r1", ...
core::RouterId RouterName(size_t node);

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_FLEET_H_
