#ifndef TESTS_ROUTER_FLEET_FIXTURE_H_
#define TESTS_ROUTER_FLEET_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <string>   // string
#include <utility>  // move

#include "coppervalve/request/key_name.h"
#include "coppervalve/trial/audit.h"
#include "coppervalve/trial/fleet.h"
#include "coppervalve/trial/load_generator.h"

namespace coppervalve::trial {

/// @brief A running fleet that checks all invariants.
class RunningFleet {
 public:
  explicit RunningFleet(FleetOptions options = {}, LoadOptions load = {})
      : fleet(std::move(options)), audit(fleet), load_options(load) {
    fleet.SetOnLogLine([this](size_t node, const router::LogLine& line) {
      if (line.event == "routed") {
        audit.OnDispatch(node);
      }
    });
    fleet.Publish(TrialConfiguration(load_options));
    fleet.StartAll();
    Run(std::chrono::seconds(4));
  }

  /// @brief Advances time and checks all invariants.
  void Run(core::Duration duration) {
    const core::TimePoint end = fleet.now() + duration;
    while (fleet.now() < end) {
      fleet.Run(std::chrono::milliseconds(100));
      for (const Violation& violation : audit.Check()) {
        FAIL_TEST((violation.invariant + " " + violation.what).c_str());
      }
    }
  }

  /// @brief A non-idempotent request: a seat hold.
  ClientRequest Hold(std::string key) const {
    ClientRequest client_request;
    client_request.account = core::AccountId("a0");
    client_request.budget = core::BudgetId("b0");
    client_request.admission_class = v1::GATE;
    client_request.non_idempotent = true;
    client_request.service = "holds";
    client_request.body_size = core::Bytes(40);
    client_request.prompt = core::Tokens(5);
    client_request.duration = std::chrono::milliseconds(5);
    client_request.key = std::move(key);
    return client_request;
  }

  /// @brief A model request of `duration` that uses 300 tokens.
  ClientRequest Draft(std::string key, core::Duration duration) const {
    ClientRequest client_request;
    client_request.account = core::AccountId("a0");
    client_request.budget = core::BudgetId("b0");
    client_request.admission_class = v1::BATCH;
    client_request.model = "draft";
    client_request.body_size = core::Bytes(400);
    client_request.prompt = core::Tokens(100);
    client_request.max_output = core::Tokens(200);
    client_request.output = core::Tokens(200);
    client_request.duration = duration;
    client_request.key = std::move(key);
    return client_request;
  }

  std::string Prefix(size_t node) {
    return request::KeyPrefix(
        {RouterName(node), fleet.node(node).core().incarnation()});
  }

  uint64_t RunsOf(size_t client_request) {
    uint64_t runs = 0;
    for (const Execution& run : fleet.executions()) {
      runs += run.client_request == client_request ? 1 : 0;
    }
    return runs;
  }

  ClientAttempt::State StateOf(size_t client_attempt) {
    return fleet.client_attempts()[client_attempt].state;
  }
  std::string Phase(size_t node) {
    return fleet.node(node).core().Status(fleet.now()).phase();
  }
  uint64_t Version(size_t node) {
    return fleet.node(node).core().Status(fleet.now()).config_version();
  }

  Fleet fleet;
  Audit audit;
  LoadOptions load_options;
};

}  // namespace coppervalve::trial

#endif  // TESTS_ROUTER_FLEET_FIXTURE_H_
