#ifndef TESTS_ROUTER_FLEET_FIXTURE_H_
#define TESTS_ROUTER_FLEET_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <string>   // string
#include <utility>  // move

#include "coppervalve/request/key_name.h"
#include "coppervalve/trial/audit.h"
#include "coppervalve/trial/fleet.h"
#include "coppervalve/trial/load.h"

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
  Wish Hold(std::string key) const {
    Wish wish;
    wish.account = core::AccountId("a0");
    wish.budget = core::BudgetId("b0");
    wish.admission_class = v1::GATE;
    wish.non_idempotent = true;
    wish.service = "holds";
    wish.body_size = core::Bytes(40);
    wish.prompt = core::Tokens(5);
    wish.duration = std::chrono::milliseconds(5);
    wish.key = std::move(key);
    return wish;
  }

  /// @brief A model request of `duration` that uses 300 tokens.
  Wish Draft(std::string key, core::Duration duration) const {
    Wish wish;
    wish.account = core::AccountId("a0");
    wish.budget = core::BudgetId("b0");
    wish.admission_class = v1::BATCH;
    wish.model = "draft";
    wish.body_size = core::Bytes(400);
    wish.prompt = core::Tokens(100);
    wish.max_output = core::Tokens(200);
    wish.output = core::Tokens(200);
    wish.duration = duration;
    wish.key = std::move(key);
    return wish;
  }

  std::string Prefix(size_t node) {
    return request::KeyPrefix(
        {RouterName(node), fleet.node(node).core().incarnation()});
  }

  uint64_t RunsOf(size_t wish) {
    uint64_t runs = 0;
    for (const Execution& run : fleet.executions()) {
      runs += run.wish == wish ? 1 : 0;
    }
    return runs;
  }

  Ticket::State StateOf(size_t ticket) { return fleet.tickets()[ticket].state; }
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
