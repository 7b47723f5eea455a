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

/// @brief Constants of the policy.
struct RetryPolicyOptions {
  uint32_t max_attempts = 3;  ///< when the rule gives none
  RetryBudgetOptions per_upstream;
  RetryBudgetOptions per_account;
  core::Duration initial_backoff{10'000};
  core::Duration max_backoff{1'000'000};
};

/// @brief How far an attempt got.
enum class AttemptEnd : uint8_t {
  kNotSent,   ///< no byte reached the kernel
  kDeclined,  ///< the upstream said that it did not take it
  kFailed,    ///< sent, and no whole answer came
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

/// @brief Place it again after a pause, at another upstream if there is one.
struct Retry {
  core::Duration after{};
  std::vector<core::UpstreamId> exclude;
};

/// @brief The final, truthful outcome.
struct GiveUp {
  core::Error error;
  core::RunState run_state = core::RunState::kUnknown;
  std::optional<core::Duration> retry_after;
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// @brief Decides whether an attempt is followed by another.
///
/// Any request may be tried again when it provably did not run; after bytes
/// were sent only an idempotent one whose caller has nothing yet. Retries are
/// paid from budgets of the upstream that failed and of the account.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, RandomSource random);

  /// @brief A first attempt goes out: both budgets earn. @complexity O(1)
  void OnFirstAttempt(const core::AccountId& account,
                      const core::UpstreamId& upstream);
  /// @complexity O(tried)
  RetryDecision Decide(const FailedAttempt& failed, core::TimePoint now);
  /// @brief Forgets the budgets of upstreams that are no longer configured.
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
