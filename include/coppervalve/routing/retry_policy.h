#ifndef COPPERVALVE_ROUTING_RETRY_POLICY_H_
#define COPPERVALVE_ROUTING_RETRY_POLICY_H_

#include <cstdint>        // uint32_t
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <variant>        // variant
#include <vector>         // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/retry_budget.h"

namespace coppervalve::routing {

/// @brief Options of the policy.
struct RetryPolicyOptions {
  uint32_t max_attempts = 3;  ///< when the rule sets none
  RetryBudgetOptions per_upstream;
  RetryBudgetOptions per_account;
  core::Duration initial_backoff{10'000};
  core::Duration max_backoff{1'000'000};
};

/// @brief How far an attempt got before it failed.
enum class AttemptEnd : uint8_t {
  kNotSent,   ///< no byte reached the kernel
  kDeclined,  ///< the upstream reported that it did not accept the request
  kFailed,    ///< sent, but no complete answer arrived
};

/// @brief A request whose attempt just ended without an answer.
struct FailedAttempt {
  core::AccountId account;
  core::UpstreamId upstream;
  AttemptEnd end = AttemptEnd::kFailed;
  core::Error error;  ///< of the attempt
  bool idempotent = false;
  bool forwarded_bytes = false;  ///< the caller has part of the answer
  uint32_t attempts = 1;         ///< made so far, this one included
  uint32_t max_attempts = 0;     ///< of the rule; 0 = default
  std::vector<core::UpstreamId> tried;
  std::optional<core::TimePoint> deadline;
};

/// @brief The request is placed again after a delay, at another upstream if
/// possible.
struct Retry {
  core::Duration after{};
  std::vector<core::UpstreamId> exclude;
};

/// @brief No further attempt is made; the final outcome.
struct GiveUp {
  core::Error error;
  core::RunState run_state = core::RunState::kUnknown;
  std::optional<core::Duration> retry_after;
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// @brief Decides whether an attempt is followed by another.
///
/// A request that provably did not run may be retried. After bytes were sent,
/// only an idempotent request whose caller has received nothing may be retried.
/// A retry spends from the budgets of the failed upstream and of the account.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, RandomSource random);

  /// @brief Records a first attempt, which adds to both budgets. @complexity
  /// O(1)
  void OnFirstAttempt(const core::AccountId& account,
                      const core::UpstreamId& upstream);
  /// @complexity O(tried)
  RetryDecision Decide(const FailedAttempt& failed, core::TimePoint now);
  /// @brief Removes the budgets of upstreams that are not listed, because they
  /// are no longer configured.
  void RetainUpstreams(const std::vector<core::UpstreamId>& upstreams);

 private:
  core::Duration Backoff(uint32_t attempts) const;
  bool SpendBudgets(const FailedAttempt& failed, core::TimePoint now);

  RetryPolicyOptions m_options;
  RandomSource m_random;
  std::unordered_map<core::UpstreamId, RetryBudget> m_by_upstream;
  std::unordered_map<core::AccountId, RetryBudget> m_by_account;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_RETRY_POLICY_H_
