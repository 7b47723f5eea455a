#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "coppervalve/telemetry/router_metrics.h"

using namespace coppervalve;
using namespace coppervalve::telemetry;

namespace {

core::TimePoint At(int millis) {
  return core::TimePoint(std::chrono::milliseconds(millis));
}

}  // namespace

// clang-format off
TEST_GROUP(Metrics) {
  RouterMetrics metrics;

  void Arrive(uint64_t request, int millis) {
    router::RequestArrived event;
    event.request = core::RequestId(request);
    event.model = "m1";
    metrics.OnEvent(At(millis), event);
  }
  void Dispatch(uint64_t request, int millis) {
    router::Dispatch action;
    action.request = core::RequestId(request);
    action.attempt = core::AttemptId(request);
    action.upstream = core::UpstreamId("u1");
    metrics.OnAction(At(millis), action);
  }
  void CheckHas(const std::string& line) const {
    const std::string text = metrics.Text();
    CHECK_TEXT(text.find(line) != std::string::npos, text.c_str());
  }
};
// clang-format on

TEST(Metrics, a_served_request_shows_its_times_and_tokens) {
  Arrive(1, 0);
  Dispatch(1, 20);
  metrics.OnEvent(At(120), router::AttemptFirstToken{core::RequestId(1),
                                                     core::AttemptId(1)});
  router::AttemptDone done;
  done.request = core::RequestId(1);
  done.attempt = core::AttemptId(1);
  done.usage = router::Usage{core::Tokens(3), core::Tokens(9)};
  metrics.OnEvent(At(220), done);
  CheckHas("coppervalve_request_seconds_sum 0.22");
  CheckHas("coppervalve_dispatch_wait_seconds_sum 0.02");
  CheckHas("coppervalve_first_token_seconds_sum 0.1");
  CheckHas("coppervalve_tokens_total{kind=\"output\"} 9");
  CheckHas("coppervalve_attempts_total{result=\"done\",upstream=\"u1\"} 1");
  CheckHas("coppervalve_requests_in_progress 0");
}

TEST(Metrics, a_refusal_shows_its_error_and_run_state) {
  Arrive(1, 0);
  CheckHas("coppervalve_requests_in_progress 1");
  metrics.OnAction(At(1),
                   router::Refuse{core::RequestId(1),
                                  {core::ErrorId::kBudgetExhausted, "", ""},
                                  core::RunState::kNotRun,
                                  {}});
  CheckHas(
      "coppervalve_refusals_total{error=\"CV-403\",run_state=\"not_run\"} 1");
  CheckHas("coppervalve_requests_in_progress 0");
}

TEST(Metrics, a_request_that_the_shell_refused_is_counted) {
  metrics.OnRejected({core::ErrorId::kBodyTooLarge, "", ""});
  CheckHas("coppervalve_rejected_total{error=\"CV-302\"} 1");
}
