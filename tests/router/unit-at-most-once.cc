#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(AtMostOnce){};
// clang-format on

// The first router is partitioned from its peers right after the hold ran, and
// the caller retries at another one. That router cannot know the outcome and
// must not run the hold again.
TEST(AtMostOnce, a_hold_bound_to_a_router_that_is_cut_off_is_not_run_again) {
  RunningFleet run;
  const size_t client_request =
      run.fleet.AddRequest(run.Hold(run.Prefix(0) + "seat-12"));
  const size_t first = run.fleet.Send(client_request, 0);
  run.Run(milliseconds(100));
  CHECK(run.StateOf(first) == ClientAttempt::State::kComplete);
  run.fleet.SetPartitionedFromAll(0, true);
  run.Run(seconds(5));
  const size_t second = run.fleet.Send(client_request, 1);
  run.Run(seconds(5));
  CHECK(run.StateOf(second) == ClientAttempt::State::kRefused);
  CHECK(run.fleet.client_attempts()[second].run_state !=
        core::RunState::kNotRun);
  LONGS_EQUAL(1, run.RunsOf(client_request));
}

// The router crashes after the hold ran and before the caller reads the answer.
// A retry elsewhere, long after the retirement, gets "outcome unknown".
TEST(AtMostOnce, a_hold_bound_to_a_dead_router_ends_as_unknown) {
  RunningFleet run;
  const size_t client_request =
      run.fleet.AddRequest(run.Hold(run.Prefix(0) + "seat-13"));
  run.fleet.Send(client_request, 0);
  run.Run(milliseconds(100));
  run.fleet.node(0).Kill();
  run.Run(seconds(20));
  const size_t second = run.fleet.Send(client_request, 1);
  run.Run(seconds(2));
  CHECK(run.fleet.client_attempts()[second].run_state ==
        core::RunState::kUnknown);
  CHECK(run.fleet.client_attempts()[second].error ==
        core::ErrorId::kOriginGone);
  LONGS_EQUAL(1, run.RunsOf(client_request));
}

// Two partitioned routers receive the same hold at once under a key without an
// origin. Both claim it in the log; only the first claim in log order runs it.
TEST(AtMostOnce, two_routers_cut_off_from_each_other_run_one_hold_once) {
  RunningFleet run;
  const size_t client_request = run.fleet.AddRequest(run.Hold("seat-14"));
  for (size_t a = 0; a < run.fleet.size(); ++a) {
    run.fleet.SetPartitionedFromAll(a, true);
  }
  run.Run(seconds(5));
  std::vector<size_t> client_attempts;
  for (size_t node = 0; node < run.fleet.size(); ++node) {
    client_attempts.push_back(run.fleet.Send(client_request, node));
  }
  run.Run(seconds(6));
  LONGS_EQUAL(1, run.RunsOf(client_request));
  size_t complete = 0;
  for (const size_t client_attempt : client_attempts) {
    complete +=
        run.StateOf(client_attempt) == ClientAttempt::State::kComplete ? 1 : 0;
  }
  LONGS_EQUAL(1, complete);
}

// The log becomes unavailable while a hold waits for its claim. The caller must
// get an answer at the queue time limit, and the hold must not have run.
TEST(AtMostOnce, a_hold_whose_claim_is_never_confirmed_is_refused_in_time) {
  RunningFleet run;
  const size_t client_request = run.fleet.AddRequest(run.Hold("seat-18"));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    run.fleet.log_link(i).up = false;
  }
  const size_t client_attempt = run.fleet.Send(client_request, 2);
  run.Run(seconds(8));
  CHECK(run.StateOf(client_attempt) == ClientAttempt::State::kRefused);
  CHECK(run.fleet.client_attempts()[client_attempt].run_state ==
        core::RunState::kNotRun);
  LONGS_EQUAL(0, run.RunsOf(client_request));
}

// With the log unavailable, a key without an origin cannot be claimed and the
// hold is refused at once as not run. A key bound to the router needs no log.
TEST(AtMostOnce, with_the_log_out_only_origin_bound_holds_run) {
  RunningFleet run;
  run.fleet.Send(run.fleet.AddRequest(run.Hold(run.Prefix(2) + "seat-0")), 2);
  run.Run(seconds(3));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    run.fleet.log_link(i).up = false;
  }
  run.Run(seconds(6));
  const size_t unbound = run.fleet.AddRequest(run.Hold("seat-15"));
  const size_t refused = run.fleet.Send(unbound, 2);
  const size_t bound =
      run.fleet.AddRequest(run.Hold(run.Prefix(2) + "seat-16"));
  const size_t answered = run.fleet.Send(bound, 2);
  run.Run(seconds(2));
  CHECK(run.StateOf(refused) == ClientAttempt::State::kRefused);
  CHECK(run.StateOf(answered) == ClientAttempt::State::kComplete);
  LONGS_EQUAL(0, run.RunsOf(unbound));
}

// The connection goes silent after the upstream received the hold. Another
// attempt could run it twice, so the outcome is reported as unknown.
TEST(AtMostOnce, a_hold_on_a_silent_connection_is_not_tried_again) {
  RunningFleet run;
  run.fleet.SetAttemptOutcome([] { return AttemptOutcome::kSilent; });
  const size_t client_request =
      run.fleet.AddRequest(run.Hold(run.Prefix(0) + "seat-17"));
  const size_t client_attempt = run.fleet.Send(client_request, 0);
  run.Run(seconds(15));
  CHECK(run.StateOf(client_attempt) == ClientAttempt::State::kRefused);
  CHECK(run.fleet.client_attempts()[client_attempt].run_state ==
        core::RunState::kUnknown);
  LONGS_EQUAL(1, run.RunsOf(client_request));
}

// The caller loses its connection during a draft and retries at another router,
// then at the first. All get the same answer, which is billed once.
TEST(AtMostOnce, a_retried_draft_joins_the_running_one) {
  RunningFleet run;
  const size_t client_request =
      run.fleet.AddRequest(run.Draft(run.Prefix(0) + "plan-1", seconds(3)));
  const size_t first = run.fleet.Send(client_request, 0);
  run.Run(seconds(1));
  run.fleet.CloseClientAttempt(first);
  const size_t second = run.fleet.Send(client_request, 1);
  const size_t third = run.fleet.Send(client_request, 0);
  run.Run(seconds(8));
  CHECK(run.StateOf(second) == ClientAttempt::State::kComplete);
  CHECK(run.StateOf(third) == ClientAttempt::State::kComplete);
  LONGS_EQUAL(1, run.RunsOf(client_request));
  LONGS_EQUAL(300, run.audit.Count().billed);
}

// The router crashes during a draft and the caller retries elsewhere with the
// same key. It gets a complete draft. Both attempts used tokens, one is billed.
TEST(AtMostOnce, a_draft_whose_router_died_is_written_again_and_billed_once) {
  RunningFleet run;
  const size_t client_request =
      run.fleet.AddRequest(run.Draft(run.Prefix(0) + "plan-2", seconds(3)));
  run.fleet.Send(client_request, 0);
  run.Run(seconds(1));
  run.fleet.node(0).Kill();
  run.Run(seconds(15));
  const size_t second = run.fleet.Send(client_request, 1);
  run.Run(seconds(8));
  CHECK(run.StateOf(second) == ClientAttempt::State::kComplete);
  LONGS_EQUAL(300, run.audit.Count().billed);
}

// The router of an admitted draft crashes when the account is at its request
// limit. The retry is not a new request and must not be refused.
TEST(AtMostOnce, a_retry_after_a_lost_router_is_not_counted_against_the_limit) {
  RunningFleet run;
  v1::Configuration limited = TrialConfiguration(run.load_options);
  limited.mutable_accounts(0)->set_requests_per_second(1);
  limited.mutable_accounts(0)->set_burst(1);
  run.fleet.Publish(limited);
  run.Run(seconds(5));
  const size_t client_request =
      run.fleet.AddRequest(run.Draft(run.Prefix(0) + "plan-4", seconds(3)));
  run.fleet.Send(client_request, 0);
  run.Run(seconds(1));
  run.fleet.node(0).Kill();
  run.Run(seconds(15));
  for (int i = 0; i < 20; ++i) {
    run.fleet.Send(run.fleet.AddRequest(run.Draft("", seconds(1))), 1);
  }
  const size_t retry = run.fleet.Send(client_request, 1);
  run.Run(seconds(8));
  CHECK(run.StateOf(retry) == ClientAttempt::State::kComplete);
}

// A key identifies one request, so the same key with another body is refused
// and runs nothing.
TEST(AtMostOnce, a_key_with_another_body_is_refused) {
  RunningFleet run;
  const std::string key = run.Prefix(0) + "plan-3";
  const size_t one = run.fleet.AddRequest(run.Draft(key, seconds(1)));
  const size_t other = run.fleet.AddRequest(run.Draft(key, seconds(1)));
  run.fleet.Send(one, 0);
  const size_t refused = run.fleet.Send(other, 0);
  run.Run(seconds(3));
  CHECK(run.fleet.client_attempts()[refused].error ==
        core::ErrorId::kKeyReusedWithOtherBody);
  LONGS_EQUAL(0, run.RunsOf(other));
}
