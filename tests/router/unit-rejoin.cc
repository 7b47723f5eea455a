#include <set>     // set
#include <string>  // string, to_string
#include <vector>  // vector

#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kPaused = 1;

/// A router that was retired while it was paused, and now resumes.
class RetiredRouter {
 public:
  RunningFleet& run() { return m_run; }
  Fleet& fleet() { return m_run.fleet; }

  void PauseUntilRetired() {
    fleet().node(kPaused).Pause();
    m_run.Run(seconds(30));
    CHECK(m_run.audit.fold().FindLive(RouterName(kPaused)) == nullptr);
  }

  void Resume() { fleet().node(kPaused).Resume(); }

  size_t Send(const ClientRequest& request) {
    return fleet().Send(fleet().AddRequest(request), kPaused);
  }

  void RunUntilActive() {
    while (m_run.Phase(kPaused) != "active") {
      m_run.Run(milliseconds(100));
    }
  }

 private:
  RunningFleet m_run;
};

}  // namespace

// clang-format off
TEST_GROUP(Rejoin){};
// clang-format on

// Guards against CV-410 and "unknown" from a router that has served before.
TEST(Rejoin, gives_one_reason_and_the_true_run_state_until_it_is_active) {
  RetiredRouter retired;
  const std::string old_prefix = retired.run().Prefix(kPaused);
  retired.PauseUntilRetired();
  retired.fleet().log_link(kPaused).extra_delay = milliseconds(800);
  retired.Resume();
  std::vector<size_t> attempts;
  for (int i = 0; retired.run().Phase(kPaused) != "active"; ++i) {
    const std::string key = old_prefix + "hold-" + std::to_string(i);
    attempts.push_back(retired.Send(retired.run().Hold(key)));
    retired.run().Run(milliseconds(50));
  }
  retired.run().Run(seconds(20));
  size_t refused = 0;
  std::set<core::Duration> retry_delays;
  for (const size_t attempt : attempts) {
    const ClientAttempt& seen = retired.fleet().client_attempts()[attempt];
    if (seen.state != ClientAttempt::State::kRefused) {
      continue;
    }
    ++refused;
    CHECK(seen.error == core::ErrorId::kRetiredInLog ||
          seen.error == core::ErrorId::kConfigurationStale);
    CHECK(seen.run_state == core::RunState::kNotRun);
    CHECK(seen.retry_after.has_value());
    retry_delays.insert(*seen.retry_after);
  }
  CHECK(refused > 10);
  LONGS_EQUAL(1, retry_delays.size());
}

// Guards against a second run of a request that this process has answered.
TEST(Rejoin, keeps_the_answers_of_the_incarnation_before) {
  RetiredRouter retired;
  const size_t draft = retired.fleet().AddRequest(
      retired.run().Draft(retired.run().Prefix(kPaused) + "draft", seconds(1)));
  const size_t first = retired.fleet().Send(draft, kPaused);
  retired.run().Run(seconds(3));
  CHECK(retired.run().StateOf(first) == ClientAttempt::State::kComplete);
  retired.PauseUntilRetired();
  retired.Resume();
  retired.RunUntilActive();
  const size_t second = retired.fleet().Send(draft, kPaused);
  retired.run().Run(seconds(3));
  CHECK(retired.run().StateOf(second) == ClientAttempt::State::kComplete);
  LONGS_EQUAL(1, retired.run().RunsOf(draft));
}

// Guards against a permanent refusal of a hold that only this process may run.
TEST(Rejoin, runs_a_hold_bound_to_the_incarnation_before_exactly_once) {
  RetiredRouter retired;
  const std::string old_prefix = retired.run().Prefix(kPaused);
  const size_t ran =
      retired.fleet().AddRequest(retired.run().Hold(old_prefix + "ran"));
  const size_t fresh =
      retired.fleet().AddRequest(retired.run().Hold(old_prefix + "new"));
  retired.fleet().Send(ran, kPaused);
  retired.run().Run(seconds(2));
  retired.PauseUntilRetired();
  retired.Resume();
  retired.RunUntilActive();
  for (int i = 0; i < 2; ++i) {
    for (const size_t hold : {ran, fresh}) {
      const size_t attempt = retired.fleet().Send(hold, kPaused);
      retired.run().Run(seconds(2));
      CHECK(retired.run().StateOf(attempt) == ClientAttempt::State::kComplete);
      LONGS_EQUAL(1, retired.run().RunsOf(hold));
    }
  }
}
