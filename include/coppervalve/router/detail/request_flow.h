#ifndef COPPERVALVE_ROUTER_DETAIL_REQUEST_FLOW_H_
#define COPPERVALVE_ROUTER_DETAIL_REQUEST_FLOW_H_

#include <deque>          // deque
#include <functional>     // function
#include <map>            // multimap
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/budget/holding_manager.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/request/request_table.h"
#include "coppervalve/router/detail/active_configuration.h"
#include "coppervalve/router/detail/log_access.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/detail/peer_manager.h"
#include "coppervalve/router/detail/work.h"
#include "coppervalve/router/events.h"
#include "coppervalve/routing/admission_queue.h"
#include "coppervalve/routing/placement.h"
#include "coppervalve/routing/rate_limiter.h"
#include "coppervalve/routing/retry_policy.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::router::detail {

/// @brief Dependencies of RequestFlow; owned by the session.
struct FlowDependencies {
  const RouterSettings& settings;
  const RouterHooks& hooks;
  core::Incarnation incarnation;
  LogAccess& log;
  PeerManager& peers;
  budget::HoldingManager& holding_manager;
  ActiveConfiguration& configured;
  Outbox& outbox;
};

/// @brief Processes each request: account, rule, key, tokens, queue, attempts,
/// final answer. Every request gets exactly one final answer.
class RequestFlow {
 public:
  explicit RequestFlow(FlowDependencies dependencies);

  /// @brief Takes over what the previous incarnation knew of its keys.
  void AdoptRequests(request::RequestTable previous) {
    m_table.Adopt(std::move(previous));
  }
  /// @brief Hands over the records of requests when this incarnation has ended.
  request::RequestTable TakeRequests() { return std::move(m_table); }

  /// @brief Applies a new configuration.
  void OnConfigured();
  /// @param closed why no new work is accepted, if so
  void OnArrived(core::TimePoint now,
                 const RequestArrived& event,
                 const std::optional<core::Error>& closed);
  /// @brief Refuses a request that arrives before the first read of the log.
  void RefuseBeforeFirstRead(const RequestArrived& event,
                             const core::Error& closed);
  void OnStatusRequested(core::TimePoint now,
                         const StatusRequested& event,
                         const std::optional<core::Error>& closed);
  /// @brief Refuses a request for which the configuration in force has no
  /// account or no rule.
  /// @param closed why no new work is accepted, if so
  void Deny(core::RequestId id,
            core::Error denial,
            std::optional<core::Duration> retry_after,
            core::RunState run_state,
            const std::optional<core::Error>& closed);
  void OnCallerDisconnected(core::TimePoint now, core::RequestId id);
  void OnForwardEnded(core::TimePoint now, const ForwardEnded& event);

  void OnNotSent(core::TimePoint now, const AttemptNotSent& event);
  void OnDeclined(core::TimePoint now, const AttemptDeclined& event);
  void OnFirstToken(core::TimePoint now, const AttemptFirstToken& event);
  void OnDone(core::TimePoint now, const AttemptDone& event);
  void OnFailed(core::TimePoint now, const AttemptFailed& event);
  void OnProbeEnded(core::TimePoint now, const ProbeEnded& event);

  void OnClaim(core::TimePoint now,
               const core::Hash128& key,
               const request::Origin& owner);
  void OnVmList(const v1::VmList& vms);

  /// @brief Advances requests that wait for tokens, an upstream or a retry;
  /// sends probes and expires entries.
  /// @param may_start whether attempts may be started now
  void Pump(core::TimePoint now, bool may_start);

  /// @brief Finds the account of a caller.
  /// @error kUnauthorized
  core::Result<const config::Account*> Authenticate(
      const std::string& api_key,
      const std::optional<core::AccountId>& forwarded) const;

  size_t in_progress() const { return m_work.size(); }
  /// @return whether no request or status lookup waits for an answer
  bool IsIdle() const { return m_work.empty() && m_status_relays.empty(); }
  size_t queued() const { return m_queue.size(); }
  routing::UpstreamTable& upstreams() { return m_upstreams; }
  const routing::UpstreamTable& upstreams() const { return m_upstreams; }
  routing::RateLimiter& limiter() { return m_limiter; }

 private:
  using Backoffs = std::multimap<core::TimePoint, core::RequestId>;

  // Arrival.
  std::optional<Work> Classify(core::TimePoint now,
                               const RequestArrived& event,
                               const std::optional<request::KeyName>& key,
                               const std::optional<core::Error>& closed);
  void ApplyVerdict(core::TimePoint now,
                    core::RequestId id,
                    const request::KeyVerdict& verdict);
  void RunHere(core::TimePoint now, Work& work);
  void Claim(core::TimePoint now, Work& work, const core::Hash128& key);
  void Relay(Work& work, const request::ForwardTo& to);
  bool FoldIsCurrent(core::TimePoint now) const;

  // Admission.
  void ReserveTokens(core::TimePoint now, Work& work);
  void WakeWaiters(core::TimePoint now);
  void ExpireWaiters(core::TimePoint now);
  void Enqueue(core::TimePoint now, Work& work);
  void DrainQueue(core::TimePoint now);
  /// @return whether any was refused, so that other requests may now be first
  /// in their lanes
  bool RefuseUnplaceable(core::TimePoint now);
  bool TryStart(core::TimePoint now, const routing::QueueEntry& entry);
  void Start(core::TimePoint now,
             Work& work,
             const routing::PlacementDecision& decision);
  void ExpireQueue(core::TimePoint now);

  // Attempts.
  core::Tokens CostOf(const Work& work, const AttemptDone& done) const;
  Work* FindAttempt(core::RequestId id, core::AttemptId attempt);
  void AfterNotRun(core::TimePoint now,
                   Work& work,
                   routing::AttemptEnd end,
                   const core::Error& error);
  void ApplyRetryDecision(core::TimePoint now,
                          Work& work,
                          const routing::RetryDecision& decision);
  void ResumeAfterBackoff(core::TimePoint now);

  // Final answers.
  void GiveUp(core::TimePoint now,
              Work& work,
              core::Error error,
              std::optional<core::Duration> retry_after);
  void RefuseImmediately(core::RequestId id,
                         core::Error error,
                         std::optional<core::Duration> retry_after,
                         core::RunState run_state = core::RunState::kNotRun);
  void ReleaseTokens(core::TimePoint now, Work& work);
  void WriteOff(core::TimePoint now, Work& work);
  void Erase(core::RequestId id);
  Work* Find(core::RequestId id);
  void ReplyStatus(core::RequestId id, const v1::RequestStatus& status);

  FlowDependencies m_dependencies;
  request::RequestTable m_table;
  routing::UpstreamTable m_upstreams;
  routing::Placement m_placement;
  routing::AdmissionQueue m_queue;
  routing::RateLimiter m_limiter;
  routing::RetryPolicy m_retries;

  core::TimePoint m_now{};  ///< of the current event, for the table's hooks
  std::unordered_map<core::RequestId, Work> m_work;
  std::unordered_map<core::Hash128, core::RequestId> m_claims;
  /// Requests that wait for tokens, by budget, in service order.
  std::unordered_map<core::BudgetId, std::deque<core::RequestId>> m_waiting;
  Backoffs m_backoffs;
  /// When to give up requests that wait for a claim or for tokens.
  std::multimap<core::TimePoint, core::RequestId> m_deadlines;
  /// Requests at the front of their lanes without a live upstream.
  std::vector<core::RequestId> m_unplaceable;
  std::unordered_map<core::RequestId, v1::RequestStatus> m_status_relays;
  uint64_t m_last_attempt = 0;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_REQUEST_FLOW_H_
