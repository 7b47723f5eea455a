#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(AtMostOnce){};
// clang-format on

// The caller's first router is cut off from its peers right after the hold ran,
// and the caller retries at another one. That router cannot know the outcome
// and must not run the hold again.
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

// The router dies after the hold ran and before the caller reads the answer.
// The retry elsewhere, long after the retirement, gets "outcome unknown".
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

// Two routers that cannot reach each other get the same hold under a key
// without an origin at the same moment. Both claim it in the log; the first
// claim in log order runs it, the other router learns that it lost.
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

// A hold waits for its claim when the log goes out and stays out. Its caller
// must not be kept waiting for the log: it gets its answer when the time that
// the request may wait is over, and the hold has truly not run.
TEST(AtMostOnce, a_hold_whose_claim_never_returns_is_refused_in_time) {
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

// The log is out, so a key without an origin cannot be claimed: the hold is
// refused at once and truthfully. A key bound to the router needs no log.
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

// An upstream takes the hold and its connection goes silent. Another attempt
// could run it twice, so the caller is told that the outcome is unknown.
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

// The caller's connection breaks while the draft is written, and it asks again
// at another router, then at the first. All get the one answer; it is billed
// once.
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

// The router dies in the middle of a draft; the caller asks another one with
// the same key and gets a complete draft. Both attempts used tokens, one is
// billed.
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

// The account has reached its request limit when the router of an admitted
// draft dies. The caller's retry elsewhere is not a new request: refusing it
// would cost an answer that was promised.
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

// A key names one request. The same key with another body is refused and runs
// nothing.
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
