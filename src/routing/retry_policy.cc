#include "coppervalve/routing/retry_policy.h"

#include <algorithm>      // find, min
#include <unordered_set>  // unordered_set
#include <utility>        // move

namespace coppervalve::routing {

namespace {

constexpr uint32_t kMaxBackoffStep = 16;

/// Outcome of a request that is not attempted again.
GiveUp FinalOutcome(const FailedAttempt& failed) {
  if (failed.end != AttemptEnd::kFailed) {
    return {failed.error, core::RunState::kNotRun, std::nullopt};
  }
  if (failed.forwarded_bytes) {
    core::Error error = failed.error;
    error.id = core::ErrorId::kAnswerCut;
    return {error, core::RunState::kUnknown, std::nullopt};
  }
  if (!failed.idempotent) {
    core::Error error = failed.error;
    error.id = core::ErrorId::kOutcomeUnknown;
    return {error, core::RunState::kUnknown, std::nullopt};
  }
  return {failed.error, core::RunState::kUnknown, std::nullopt};
}

bool IsRetryable(const FailedAttempt& failed) {
  if (failed.end != AttemptEnd::kFailed) {
    return true;
  }
  // Once bytes were sent, the request may have run, and a duplicate can do
  // harm: a second seat hold blocks a party that has paid. A caller that has
  // received part of one answer must not get the rest of another.
  return failed.idempotent && !failed.forwarded_bytes;
}

}  // namespace

RetryPolicy::RetryPolicy(RetryPolicyOptions options, RandomSource random)
    : m_options(options), m_random(std::move(random)) {}

void RetryPolicy::OnFirstAttempt(const core::AccountId& account,
                                 const core::UpstreamId& upstream) {
  m_by_upstream.try_emplace(upstream, m_options.per_upstream)
      .first->second.OnRequest();
  m_by_account.try_emplace(account, m_options.per_account)
      .first->second.OnRequest();
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& failed,
                                  core::TimePoint now) {
  const uint32_t max_attempts =
      failed.max_attempts == 0 ? m_options.max_attempts : failed.max_attempts;
  if (!IsRetryable(failed) || failed.attempts >= max_attempts) {
    return FinalOutcome(failed);
  }
  const core::Duration after = Backoff(failed.attempts);
  if (failed.deadline && now + after >= *failed.deadline) {
    return FinalOutcome(failed);
  }
  if (!SpendBudgets(failed, now)) {
    GiveUp give_up = FinalOutcome(failed);
    if (give_up.run_state == core::RunState::kNotRun) {
      give_up.error.id = core::ErrorId::kRetryBudgetSpent;
      give_up.retry_after = m_options.max_backoff;
    }
    return give_up;
  }
  Retry retry{after, failed.tried};
  const bool listed = std::find(retry.exclude.begin(), retry.exclude.end(),
                                failed.upstream) != retry.exclude.end();
  if (!listed) {
    retry.exclude.push_back(failed.upstream);
  }
  return retry;
}

bool RetryPolicy::SpendBudgets(const FailedAttempt& failed,
                               core::TimePoint now) {
  RetryBudget& upstream =
      m_by_upstream.try_emplace(failed.upstream, m_options.per_upstream)
          .first->second;
  RetryBudget& account =
      m_by_account.try_emplace(failed.account, m_options.per_account)
          .first->second;
  if (!upstream.CanSpend(now) || !account.CanSpend(now)) {
    return false;
  }
  upstream.Spend();
  account.Spend();
  return true;
}

core::Duration RetryPolicy::Backoff(uint32_t attempts) const {
  const uint32_t step = std::min(attempts - 1, kMaxBackoffStep);
  const core::Duration backoff = std::min(
      m_options.initial_backoff * (int64_t{1} << step), m_options.max_backoff);
  // Half of the delay is fixed and half is random: requests that failed
  // together are spread out, and none reaches the next upstream immediately.
  return backoff / 2 + UniformDuration(m_random, backoff / 2);
}

void RetryPolicy::RetainUpstreams(
    const std::vector<core::UpstreamId>& upstreams) {
  const std::unordered_set<core::UpstreamId> kept(upstreams.begin(),
                                                  upstreams.end());
  std::erase_if(m_by_upstream, [&kept](const auto& entry) {
    return !kept.contains(entry.first);
  });
}

}  // namespace coppervalve::routing
