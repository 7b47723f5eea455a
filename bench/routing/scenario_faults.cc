#include <algorithm>  // max

#include "bench/routing/scenarios.h"
#include "bench/routing/workload.h"

namespace coppervalve::bench {

namespace {

constexpr double kMeanSteps = 60 + 2;

Stream ChatStream(const FleetOptions& options, double load) {
  return {"chat",
          v1::INTERACTIVE,
          CapacityPerStep(options, kMeanSteps) * load,
          20,
          100,
          10 * kStepsPerSecond,
          0};
}

struct OutageResult {
  double attempts_per_request = 0;
  double recovery_steps = 0;
};

OutageResult RunOutage(RetryMode retries, bool probes_always_succeed) {
  constexpr int64_t kBefore = 10 * kStepsPerSecond;
  constexpr int64_t kOutage = 60 * kStepsPerSecond;
  constexpr int64_t kAfter = 30 * kStepsPerSecond;
  constexpr double kLoad = 0.5;
  FleetOptions options;
  options.retries = retries;
  options.probes_always_succeed = probes_always_succeed;
  if (retries == RetryMode::kRetryTwice) {
    options.management = Management::kNoQueue;
  }
  Fleet fleet(options);
  Workload workload(fleet, 19);
  const Stream stream = ChatStream(options, kLoad);
  const auto run_until = [&](int64_t until) {
    while (fleet.now() < until) {
      fleet.Step();
      workload.Offer(stream);
    }
  };
  run_until(kBefore);
  const Outcome before = fleet.OutcomeOf(v1::INTERACTIVE);
  fleet.SetEnginesDown(true);
  run_until(kBefore + kOutage);
  const Outcome during = fleet.OutcomeOf(v1::INTERACTIVE);
  fleet.SetEnginesDown(false);
  OutageResult result;
  result.attempts_per_request =
      static_cast<double>(during.attempts - before.attempts) /
      static_cast<double>(during.offered - before.offered);
  // Recovered: the jobs finished in one second reach 90% of the arrivals.
  const double wanted =
      stream.jobs_per_step * static_cast<double>(kStepsPerSecond) * 0.9;
  const int64_t back = fleet.now();
  uint64_t finished = during.finished;
  while (fleet.now() < back + kAfter) {
    run_until(fleet.now() + kStepsPerSecond);
    const uint64_t total = fleet.OutcomeOf(v1::INTERACTIVE).finished;
    if (static_cast<double>(total - finished) >= wanted) {
      break;
    }
    finished = total;
  }
  result.recovery_steps = static_cast<double>(fleet.now() - back);
  return result;
}

}  // namespace

void MeasureOutage(Figures& figures) {
  const OutageResult ours = RunOutage(RetryMode::kPolicy, false);
  const OutageResult twice = RunOutage(RetryMode::kRetryTwice, false);
  figures.Report("outage_attempts_per_request", ours.attempts_per_request,
                 "ratio", BoundKind::kAtMost, 0.05, twice.attempts_per_request);
  figures.Report("outage_recovery", ours.recovery_steps, "steps",
                 BoundKind::kAtMost, 800, twice.recovery_steps);
  // A worse outage: the engines answer probes but fail every request, so that
  // they are readmitted and ejected repeatedly.
  const OutageResult false_probes = RunOutage(RetryMode::kPolicy, true);
  figures.Report("lying_probes_attempts_per_request",
                 false_probes.attempts_per_request, "ratio", BoundKind::kAtMost,
                 0.3, twice.attempts_per_request);
}

namespace {

constexpr size_t kLeavingEngine = 3;
constexpr int64_t kLeavesAt = 10 * kStepsPerSecond + 7;
constexpr int64_t kGoneAt = kLeavesAt + 30 * kStepsPerSecond;
constexpr int64_t kPollEvery = kStepsPerSecond;
constexpr int64_t kListLag = 2 * kStepsPerSecond;

/// Step at which a router first reads a VM list that shows the VM as leaving.
int64_t ListReadAt(size_t router) {
  const int64_t shown = kLeavesAt + kListLag;
  const int64_t phase = static_cast<int64_t>(router) * 29 % kPollEvery;
  return shown + (kPollEvery + phase - shown % kPollEvery) % kPollEvery;
}

struct LeavingResult {
  double after_list_read = 0;  ///< steps after the router read the list
  double after_leaving = 0;    ///< steps after the VM began to leave
};

LeavingResult RunLeaving(bool reads_list) {
  const FleetOptions options;
  Fleet fleet(options);
  Workload workload(fleet, 23);
  const Stream stream = ChatStream(options, 0.6);
  while (fleet.now() < kGoneAt) {
    fleet.Step();
    for (size_t router = 0; router < fleet.routers(); ++router) {
      if (reads_list && fleet.now() == ListReadAt(router)) {
        fleet.SetLeaving(router, kLeavingEngine);
      }
    }
    workload.Offer(stream);
  }
  LeavingResult result;
  for (size_t router = 0; router < fleet.routers(); ++router) {
    const int64_t last = fleet.LastDispatch(router, kLeavingEngine);
    const int64_t known = last - ListReadAt(router);
    result.after_list_read =
        std::max(result.after_list_read, static_cast<double>(known));
    result.after_leaving =
        std::max(result.after_leaving, static_cast<double>(last - kLeavesAt));
  }
  return result;
}

}  // namespace

void MeasureLeaving(Figures& figures) {
  const LeavingResult ours = RunLeaving(true);
  const LeavingResult without_list = RunLeaving(false);
  figures.Report("leaving_work_after_router_knows", ours.after_list_read,
                 "steps", BoundKind::kAtMost, 0, without_list.after_list_read);
  figures.Report("leaving_work_after_leaving", ours.after_leaving, "steps",
                 BoundKind::kAtMost, static_cast<double>(kListLag + kPollEvery),
                 without_list.after_leaving);
}

}  // namespace coppervalve::bench
