#include <optional>  // optional
#include <variant>   // get_if
#include <vector>    // vector

#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::seconds;

namespace {

constexpr core::RequestId kRequest(1);

std::optional<core::ErrorId> RefusalIn(
    const std::vector<router::Action>& actions) {
  for (const router::Action& action : actions) {
    if (const auto* refuse = std::get_if<router::Refuse>(&action)) {
      return refuse->error.id;
    }
  }
  return std::nullopt;
}

/// @return the refusal of a request with the key of no known account
std::optional<core::ErrorId> RefusalOfUnknownAccount(RunningFleet& run,
                                                     size_t node) {
  ClientRequest request = run.Draft("", seconds(1));
  request.account = core::AccountId("new");
  const size_t attempt = run.fleet.Send(run.fleet.AddRequest(request), node);
  run.Run(seconds(1));
  return run.fleet.client_attempts()[attempt].error;
}

}  // namespace

// clang-format off
TEST_GROUP(Denial){};
// clang-format on

// Guards against a 401 from a router that has not read the log yet.
TEST(Denial, is_not_given_before_the_first_read_of_the_log) {
  RunningFleet run;
  Node& node = run.fleet.node(2);
  node.Kill();
  run.fleet.log_link(2).up = false;
  node.Start();
  const core::TimePoint now = run.fleet.now();
  CHECK(RefusalIn(node.core().Handle(
            now, router::AddressesRequested{kRequest, "demo-a0"})) ==
        core::ErrorId::kNotReady);
  CHECK(RefusalIn(node.core().Handle(
            now, router::StatusRequested{kRequest, "demo-a0", "key", {}})) ==
        core::ErrorId::kNotReady);
}

// Guards against a 401 for an account that was added during a partition.
TEST(Denial, is_not_given_under_a_stale_configuration) {
  RunningFleet run;
  CHECK(RefusalOfUnknownAccount(run, 2) == core::ErrorId::kUnauthorized);
  run.fleet.log_link(2).up = false;
  run.fleet.SetPartitionedFromAll(2, true);
  run.Run(seconds(15));
  CHECK(RefusalOfUnknownAccount(run, 2) == core::ErrorId::kConfigurationStale);
}
