#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(Fleet){};
// clang-format on

TEST(Fleet, a_calm_fleet_answers_everything_and_bills_it_once) {
  LoadOptions options;
  options.prepaid = 10'000'000;
  RunningFleet run({}, options);
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(30));
  load.Stop();
  run.Run(seconds(20));
  CHECK(run.audit.CheckFolds().empty());
  const ClassCount total = load.Total();
  CHECK(total.client_requests > 400);
  LONGS_EQUAL(total.client_requests, total.complete);
  LONGS_EQUAL(0, total.false_refusals);
  const TokenCount count = run.audit.Count();
  LONGS_EQUAL(count.used, count.billed);
}

// Callers go on asking the router that is being shut down; a second SIGTERM
// comes while it drains. Each request in progress ends with its complete
// answer, the holdings go back, and then the process ends by itself.
TEST(Fleet, a_drain_under_load_cuts_off_nothing_and_gives_everything_back) {
  LoadOptions options;
  options.prepaid = 10'000'000;
  RunningFleet run({}, options);
  std::vector<size_t> client_attempts;
  for (int i = 0; i < 20; ++i) {
    const size_t client_request = run.fleet.AddRequest(
        run.Draft("drain-" + std::to_string(i), seconds(6)));
    run.fleet.SetKey(client_request, run.Prefix(2) + "d" + std::to_string(i));
    client_attempts.push_back(run.fleet.Send(client_request, 2));
  }
  run.Run(seconds(1));
  run.fleet.node(2).Drain();
  run.Run(seconds(1));
  run.fleet.node(2).Drain();
  run.Run(seconds(40));
  for (const size_t client_attempt : client_attempts) {
    CHECK(run.StateOf(client_attempt) == ClientAttempt::State::kComplete);
  }
  CHECK_FALSE(run.fleet.node(2).alive());
  for (const ledger::Member* member : run.audit.fold().RetiredMembers()) {
    for (const auto& [budget, holding] : member->holdings) {
      LONGS_EQUAL(0, holding.held().value());
    }
  }
}

// A router is paused in the middle of its work for longer than the fleet waits
// before it retires it; its witness gives back what it may not spend. On resume
// it still has requests that it took: it may finish them within its ceiling,
// must not pass it, and joins again as a new incarnation.
TEST(Fleet, a_router_that_resumes_after_its_retirement_cannot_overspend) {
  LoadOptions options;
  options.prepaid = 40'000;
  options.accounts = 1;
  RunningFleet run({}, options);
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(5));
  const core::Incarnation before = run.fleet.node(1).core().incarnation();
  run.fleet.node(1).Pause();
  run.Run(seconds(30));
  CHECK(run.audit.fold().FindLive(RouterName(1)) == nullptr);
  run.fleet.node(1).Resume();
  run.Run(seconds(30));
  load.Stop();
  run.Run(seconds(20));
  CHECK(run.fleet.node(1).core().incarnation() != before);
  STRCMP_EQUAL("active", run.Phase(1).c_str());
  CHECK(run.audit.CheckFolds().empty());
}

// A router is killed with holdings that it had not spent. Its witness states
// how far it can have gone, and the rest is spendable again within seconds of
// the retirement, without an operator.
TEST(Fleet, a_crash_strands_no_more_than_the_acknowledged_ceiling) {
  LoadOptions options;
  options.prepaid = 1'000'000;
  options.accounts = 1;
  RunningFleet run({}, options);
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(10));
  const auto status = run.fleet.node(3).core().Status(run.fleet.now());
  CHECK(status.budgets_size() > 0);
  const v1::BudgetStatus& budget = status.budgets(0);
  // What a crash can strand is a small part of what rides out an outage.
  CHECK(budget.held() > 4 * (budget.ceiling() - budget.spent()));
  run.fleet.node(3).Kill();
  run.Run(seconds(20));
  const ledger::Budget* folded =
      run.audit.fold().FindBudget(core::BudgetId("b0"));
  CHECK(folded->quarantined.value() <= budget.ceiling());
}

// The configuration is published while one router cannot reach the log but its
// peers can. It must not go on under the old version for longer than the bound:
// a peer tells it that there is a newer one and it takes no new work. Once the
// log is back, it follows.
TEST(Fleet, a_router_cut_off_from_the_log_never_works_under_an_old_version) {
  RunningFleet run;
  run.fleet.log_link(4).up = false;
  run.Run(seconds(1));
  run.fleet.Publish(TrialConfiguration(run.load_options));
  run.Run(seconds(8));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    LONGS_EQUAL(i == 4 ? 1 : 2, run.Version(i));
  }
  STRCMP_EQUAL("stale", run.Phase(4).c_str());
  const size_t client_attempt =
      run.fleet.Send(run.fleet.AddRequest(run.Draft("k", seconds(1))), 4);
  run.Run(seconds(2));
  CHECK(run.StateOf(client_attempt) == ClientAttempt::State::kRefused ||
        run.StateOf(client_attempt) == ClientAttempt::State::kComplete);
  run.fleet.log_link(4).up = true;
  run.Run(seconds(8));
  LONGS_EQUAL(2, run.Version(4));
}

// Four of seven routers are cut off from the log and from the other three, and
// an operator publishes. The four know of nothing newer and go on under the old
// version, so the new one may not come into force anywhere until they are back,
// however long that takes and however many of them the three retire meanwhile.
TEST(Fleet, a_partition_never_puts_two_configurations_in_force) {
  RunningFleet run;
  for (size_t a = 0; a < 4; ++a) {
    run.fleet.log_link(a).up = false;
    for (size_t b = 4; b < run.fleet.size(); ++b) {
      run.fleet.SetPartitioned(a, b, true);
    }
  }
  run.Run(seconds(1));
  run.fleet.Publish(TrialConfiguration(run.load_options));
  run.Run(seconds(60));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    LONGS_EQUAL(1, run.Version(i));
  }
  STRCMP_EQUAL("active", run.Phase(0).c_str());
  for (size_t a = 0; a < 4; ++a) {
    run.fleet.log_link(a).up = true;
    run.fleet.SetPartitionedFromAll(a, false);
  }
  run.Run(seconds(20));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    LONGS_EQUAL(2, run.Version(i));
  }
}

// A router is paused while a configuration comes into force, with requests in
// its sockets and in its queue. The first thing it does on resume is to handle
// them; it must not serve a single one under the rules of a minute ago.
TEST(Fleet, a_router_that_resumes_serves_nothing_under_the_old_version) {
  RunningFleet run;
  run.fleet.node(2).Pause();
  run.fleet.Publish(TrialConfiguration(run.load_options));
  run.Run(seconds(9));
  std::vector<size_t> client_attempts;
  for (int i = 0; i < 10; ++i) {
    const std::string key = run.Prefix(2) + "r" + std::to_string(i);
    client_attempts.push_back(
        run.fleet.Send(run.fleet.AddRequest(run.Draft(key, seconds(1))), 2));
  }
  LONGS_EQUAL(1, run.Version(2));
  run.fleet.node(2).Resume();
  run.Run(seconds(5));
  for (const size_t client_attempt : client_attempts) {
    CHECK(run.fleet.client_attempts()[client_attempt].error ==
          core::ErrorId::kConfigurationStale);
  }
  LONGS_EQUAL(2, run.Version(2));
}

// The three that can reach the log are the minority, and one of the four read
// the proposal before the cut. It came into force without the four; since one
// of them knows of it, none of the four may go on under the old version.
TEST(Fleet, a_majority_that_knows_of_a_newer_version_stops) {
  RunningFleet run;
  run.fleet.Publish(TrialConfiguration(run.load_options));
  run.Run(milliseconds(1));
  for (size_t a = 1; a < 4; ++a) {
    run.fleet.log_link(a).up = false;
  }
  run.Run(seconds(1));
  run.fleet.log_link(0).up = false;
  for (size_t a = 0; a < 4; ++a) {
    for (size_t b = 4; b < run.fleet.size(); ++b) {
      run.fleet.SetPartitioned(a, b, true);
    }
  }
  run.Run(seconds(12));
  for (size_t b = 4; b < run.fleet.size(); ++b) {
    LONGS_EQUAL(2, run.Version(b));
  }
  for (size_t a = 1; a < 4; ++a) {
    CHECK(run.Version(a) == 2 || run.Phase(a) == "stale");
  }
}

// The log is out for everybody for ten minutes. Nobody can have accepted a
// newer configuration that some router follows, so the fleet goes on from its
// holdings; nothing is overspent and nothing is lost when the log is back.
TEST(Fleet, the_fleet_rides_out_a_log_outage_on_its_holdings) {
  LoadOptions options;
  options.prepaid = 30'000'000;
  options.per_second = 10;
  options.origin_bound_share = 1;
  RunningFleet run({}, options);
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(20));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    run.fleet.log_link(i).up = false;
  }
  run.Run(seconds(600));
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    run.fleet.log_link(i).up = true;
  }
  run.Run(seconds(20));
  load.Stop();
  run.Run(seconds(20));
  const ClassCount total = load.Total();
  CHECK(total.client_requests > 5000);
  LONGS_EQUAL(total.client_requests, total.complete);
  CHECK(run.audit.CheckFolds().empty());
}

// The log keeps few entries and a router is paused until its next entry is
// gone. It finds the gap, starts again from a snapshot as a new incarnation and
// agrees with the others.
TEST(Fleet, a_router_behind_the_retained_log_starts_from_a_snapshot) {
  FleetOptions fleet_options;
  fleet_options.log_retain = 1200;
  LoadOptions options;
  options.prepaid = 100'000'000;
  options.per_second = 40;
  RunningFleet run(fleet_options, options);
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(60));
  run.fleet.node(5).Pause();
  run.Run(seconds(240));
  CHECK(run.fleet.log().Read(core::LogOffset(0)).first_retained() > 0);
  run.fleet.node(5).Resume();
  run.Run(seconds(60));
  load.Stop();
  run.Run(seconds(20));
  STRCMP_EQUAL("active", run.Phase(5).c_str());
  CHECK(run.audit.CheckFolds().empty());
}

// An engine answers wholly but does not say how much it used. Billing nothing
// would let the account use the engine for ever; the bound that was reserved is
// charged.
TEST(Fleet, an_answer_without_usage_costs_what_was_reserved) {
  RunningFleet run;
  run.fleet.SetReportsUsage(false);
  const size_t client_request = run.fleet.AddRequest(run.Draft("", seconds(1)));
  const size_t client_attempt = run.fleet.Send(client_request, 0);
  run.Run(seconds(5));
  CHECK(run.StateOf(client_attempt) == ClientAttempt::State::kComplete);
  const TokenCount count = run.audit.Count();
  CHECK(count.billed >= count.used);
  CHECK(count.used > 0);
}

// Every upstream fails for all requests. Callers that wait are refused at once,
// with when to come back, and the fleet does not multiply the load by retrying.
TEST(Fleet, a_full_outage_of_the_upstreams_is_refused_without_a_retry_storm) {
  LoadOptions options;
  options.prepaid = 10'000'000;
  options.max_attempts = 1;
  options.batch_share = 0;
  options.gate_share = 0;
  RunningFleet run({}, options);
  uint64_t attempts = 0;
  run.fleet.SetAttemptOutcome([] { return AttemptOutcome::kNotSent; });
  run.fleet.SetOnLogLine([&](size_t, const router::LogLine& line) {
    attempts += line.event == "routed" ? 1 : 0;
  });
  LoadGenerator load(run.fleet, run.audit, options);
  load.Start();
  run.Run(seconds(30));
  load.Stop();
  run.Run(seconds(15));
  const ClassCount total = load.Total();
  CHECK(total.client_requests > 400);
  LONGS_EQUAL(total.client_requests, total.refused);
  // Two attempts a request would be a storm; ejection keeps it below one.
  CHECK(attempts < total.client_requests);
}

// The VM list says that an upstream leaves. No dispatch goes there any more,
// while those in progress end.
TEST(Fleet, a_leaving_upstream_gets_no_new_work) {
  RunningFleet run;
  v1::VmList vms;
  v1::Vm& vm = *vms.add_vms();
  vm.set_id("engine-1");
  vm.set_leaving(true);
  for (size_t i = 0; i < run.fleet.size(); ++i) {
    run.fleet.node(i).Deliver(router::VmListRead{vms});
  }
  uint64_t routed = 0;
  uint64_t to_leaving = 0;
  run.fleet.SetOnLogLine([&](size_t, const router::LogLine& line) {
    if (line.event != "routed") {
      return;
    }
    ++routed;
    for (const auto& [name, value] : line.fields) {
      to_leaving += name == "upstream" && value == "engine-1" ? 1 : 0;
    }
  });
  LoadGenerator load(run.fleet, run.audit, run.load_options);
  load.Start();
  run.Run(seconds(10));
  CHECK(routed > 50);
  LONGS_EQUAL(0, to_leaving);
}
