#include "coppervalve/routing/retry_policy.h"

#include <CppUTest/TestHarness.h>

#include "routing_fixture.h"

using namespace coppervalve;
using namespace coppervalve::routing;
using namespace coppervalve::routing::testing;

namespace {

FailedAttempt Failed(AttemptEnd end, bool idempotent) {
  FailedAttempt failed;
  failed.account = core::AccountId("gate");
  failed.upstream = EngineId(0);
  failed.end = end;
  failed.error = {core::ErrorId::kUpstreamFailed, "engine-0", "closed"};
  failed.idempotent = idempotent;
  return failed;
}

RetryDecision DecideOnce(const FailedAttempt& failed) {
  RetryPolicy policy({}, Seeded(1));
  return policy.Decide(failed, At(0));
}

}  // namespace

// clang-format off
TEST_GROUP(RetryPolicy){};
// clang-format on

TEST(RetryPolicy, a_full_outage_does_not_multiply_the_requests) {
  // All engines fail for a minute under 100 requests per second. Retrying each
  // request twice would triple the load on recovering engines; the budget
  // limits the retries to about a tenth of the requests.
  RetryPolicy policy({}, Seeded(1));
  int requests = 0;
  int retries = 0;
  for (int64_t now = 0; now < 60'000; now += 10) {
    const core::UpstreamId upstream = EngineId(static_cast<int>(now / 10 % 12));
    policy.OnFirstAttempt(core::AccountId("gate"), upstream);
    ++requests;
    FailedAttempt failed = Failed(AttemptEnd::kFailed, true);
    failed.upstream = upstream;
    while (std::holds_alternative<Retry>(policy.Decide(failed, At(now)))) {
      ++retries;
      ++failed.attempts;
    }
  }
  CHECK(retries > 0);
  CHECK(retries <= requests * 12 / 100);
}

TEST(RetryPolicy,
     a_non_idempotent_request_is_not_retried_once_bytes_were_sent) {
  // The engine closed the connection after it received a seat hold. The hold
  // may exist, and a second one would block a party that has paid, so the
  // error for the caller states that the outcome is unknown.
  const RetryDecision sent = DecideOnce(Failed(AttemptEnd::kFailed, false));
  CHECK(std::get<GiveUp>(sent).error.id == core::ErrorId::kOutcomeUnknown);
  CHECK(std::get<GiveUp>(sent).run_state == core::RunState::kUnknown);
  const RetryDecision declined =
      DecideOnce(Failed(AttemptEnd::kDeclined, false));
  CHECK(std::holds_alternative<Retry>(declined));
  const RetryDecision not_sent =
      DecideOnce(Failed(AttemptEnd::kNotSent, false));
  CHECK(std::get<Retry>(not_sent).exclude.front() == EngineId(0));
}

TEST(RetryPolicy,
     a_request_is_not_retried_after_part_of_the_answer_was_forwarded) {
  FailedAttempt failed = Failed(AttemptEnd::kFailed, true);
  failed.forwarded_bytes = true;
  const RetryDecision decision = DecideOnce(failed);
  CHECK(std::get<GiveUp>(decision).error.id == core::ErrorId::kAnswerCut);
}

TEST(RetryPolicy, retries_end_at_the_attempt_limit_or_the_deadline) {
  FailedAttempt failed = Failed(AttemptEnd::kFailed, true);
  failed.attempts = RetryPolicyOptions{}.max_attempts;
  CHECK(std::holds_alternative<GiveUp>(DecideOnce(failed)));
  failed.max_attempts = failed.attempts + 1;
  CHECK(std::holds_alternative<Retry>(DecideOnce(failed)));
  failed.deadline = At(1);
  CHECK(std::holds_alternative<GiveUp>(DecideOnce(failed)));
}

TEST(RetryPolicy,
     a_request_that_did_not_run_is_reported_as_not_run_without_budget) {
  RetryPolicyOptions options;
  options.per_account = {0.1, 0, 1};
  RetryPolicy policy(options, Seeded(1));
  const FailedAttempt failed = Failed(AttemptEnd::kNotSent, false);
  CHECK(std::holds_alternative<Retry>(policy.Decide(failed, At(0))));
  const RetryDecision second = policy.Decide(failed, At(1));
  const GiveUp& give_up = std::get<GiveUp>(second);
  CHECK(give_up.error.id == core::ErrorId::kRetryBudgetSpent);
  CHECK(give_up.run_state == core::RunState::kNotRun);
  CHECK(give_up.retry_after.has_value());
}

TEST(RetryPolicy, a_failing_upstream_does_not_spend_the_budget_of_others) {
  RetryPolicyOptions options;
  options.per_upstream = {0.1, 0, 2};
  RetryPolicy policy(options, Seeded(1));
  FailedAttempt failed = Failed(AttemptEnd::kFailed, true);
  for (int i = 0; i < 5; ++i) {
    policy.Decide(failed, At(0));
  }
  CHECK(std::holds_alternative<GiveUp>(policy.Decide(failed, At(0))));
  failed.upstream = EngineId(1);
  CHECK(std::holds_alternative<Retry>(policy.Decide(failed, At(0))));
}
