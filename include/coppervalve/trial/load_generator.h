#ifndef COPPERVALVE_TRIAL_LOAD_GENERATOR_H_
#define COPPERVALVE_TRIAL_LOAD_GENERATOR_H_

#include <array>          // array
#include <cstdint>        // uint64_t
#include <map>            // map
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/units.h"
#include "coppervalve/trial/audit.h"
#include "coppervalve/trial/fleet.h"

namespace coppervalve::trial {

/// @brief Options of the load that the simulated callers generate.
struct LoadOptions {
  size_t accounts = 3;
  int64_t prepaid = 200'000;  ///< of each account's budget
  double per_second = 20;     ///< new requests over all accounts
  double batch_share = 0.4;   ///< BATCH model work
  double gate_share = 0.2;    ///< non-idempotent GATE calls of a service
  double keyed_share = 0.9;  ///< of idempotent work; GATE calls always have one
  double origin_bound_share = 0.7;  ///< of keyed work: origin-bound keys
  size_t max_attempts = 4;          ///< of one request
  core::Duration caller_timeout = std::chrono::seconds(15);
  uint32_t gate_reserve_permille = 50;
  /// Ratio of the callers of the last router to those of the first.
  double load_skew = 1;
};

/// @brief Results of the client requests of one class.
struct ClassCount {
  uint64_t client_requests = 0;
  uint64_t complete = 0;
  uint64_t refused = 0;         ///< final result: not run
  uint64_t unknown = 0;         ///< final result: outcome unknown
  uint64_t open = 0;            ///< no final result yet
  uint64_t false_refusals = 0;  ///< for lack of tokens that were available
  uint64_t false_final_refusals = 0;  ///< final result: a false refusal
  /// Requests that a single exact counter would have run in addition to those
  /// that ran: like false_final_refusals, but each available token counts once.
  uint64_t lost = 0;
};

/// @brief The configuration for the load: accounts "a0".., a budget
/// "b0".. each, four engines and one service.
v1::Configuration TrialConfiguration(const LoadOptions& options);

/// @brief Simulates callers that send requests, time out and retry elsewhere.
class LoadGenerator {
 public:
  LoadGenerator(Fleet& fleet, Audit& audit, LoadOptions options);

  /// @brief Starts generating requests at the configured rate.
  void Start();
  /// @brief Stops generating requests; those in progress continue.
  void Stop() { m_running = false; }
  void SetRate(double per_second) { m_options.per_second = per_second; }

  std::map<v1::AdmissionClass, ClassCount> Count() const;
  ClassCount Total() const;

 private:
  struct Pending {
    size_t attempts = 0;
    std::optional<size_t> client_attempt;
    bool ended = false;
    bool false_final_refusal = false;
    bool lost = false;
  };

  void ScheduleNext();
  ClientRequest MakeClientRequest();
  void SendAttempt(size_t client_request);
  void OnAttemptEnded(size_t client_attempt);
  void RecordFalseFinalRefusal(size_t client_request);
  size_t PickNode();
  double NextFraction();

  Fleet& m_fleet;
  Audit& m_audit;
  LoadOptions m_options;
  bool m_running = false;
  uint64_t m_last_key = 0;
  std::unordered_map<size_t, Pending> m_pending;
  std::map<v1::AdmissionClass, uint64_t> m_false_refusals;
  std::unordered_map<core::BudgetId, core::Tokens> m_lost;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_LOAD_GENERATOR_H_
