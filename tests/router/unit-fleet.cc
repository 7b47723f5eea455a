#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(Fleet){};
// clang-format on

TEST(Fleet, a_healthy_fleet_answers_everything_and_bills_it_once) {
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

// A draining router still receives requests and a second SIGTERM. Requests in
// progress are answered completely, the holdings are returned, and the process
// exits.
TEST(Fleet, a_drain_under_load_completes_all_requests_and_returns_all_tokens) {
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

// A router is paused longer than the retirement timeout, and its witness
// returns the tokens above its ceiling. After it resumes, it may finish its
// requests within the ceiling, must not exceed it, and joins as a new
// incarnation.
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

// A router crashes with unspent holdings. Its witness reports the ceiling of
// its spend, and the rest is available again within seconds of the retirement,
// without an operator.
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
  // A crash strands a small part of the tokens held for outages.
  CHECK(budget.held() > 4 * (budget.ceiling() - budget.spent()));
  run.fleet.node(3).Kill();
  run.Run(seconds(20));
  const ledger::Budget* folded =
      run.audit.fold().FindBudget(core::BudgetId("b0"));
  CHECK(folded->quarantined.value() <= budget.ceiling());
}

// A configuration is published while one router cannot reach the log but
// reaches its peers. A heartbeat reports the newer version, so it stops
// accepting work within the freshness bound and follows once the log is back.
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

// Four of seven routers are partitioned from the log and from the other three
// when an operator publishes. The four keep working under the old version, so
// the new one must not come into force anywhere before they return, however
// long that takes and however many of them are retired.
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
// its sockets and queue. After it resumes, it must not serve any of them under
// the old rules.
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

// Three routers, a minority, reach the log, and one of the other four read the
// proposal before the partition. The version comes into force without the four;
// since one of them has read it, none of the four may continue under the old
// version.
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

// The log is unavailable to all routers for ten minutes. No router can follow a
// newer configuration, so the fleet serves from its holdings; nothing is
// overspent or lost when the log returns.
TEST(Fleet, the_fleet_serves_from_its_holdings_during_a_log_outage) {
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

// The log truncates the next entry of a paused router. The router detects the
// gap, restarts from a snapshot as a new incarnation and agrees with the
// others.
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

// An engine answers completely but reports no usage. Billing nothing would make
// the engine free to use, so the reservation is charged.
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

// All upstreams fail. Waiting requests are refused at once with a Retry-After,
// and retries do not multiply the load.
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
  // Two attempts per request would be a retry storm; ejection keeps it below
  // one.
  CHECK(attempts < total.client_requests);
}

// The VM list marks an upstream as leaving. It gets no new dispatches, and
// those in progress finish.
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
