// Guards against callers getting 402 and 503 for the rest of the day after
// repeated power failures of all routers, although most of their prepaid tokens
// were never spent. A router claims tokens ahead of spending to serve through
// partitions. If it crashes, they count as spent, because nothing proves
// otherwise. When every incarnation claimed as much as the first one, each loss
// took a third of the remaining tokens.
//
// After five losses, half to two thirds of every account was lost with crashed
// routers and almost nothing was free. Startup was not the cause: routers were
// ready at once and knew their configuration. Neither was rationing: the result
// was the same without it. With a tenth of the tokens claimed ahead, callers
// were served.
//
// `bench-losses` simulates losses of all routers: alone, in series, and
// combined with partitions, drains and an account with high load. It reports
// how many requests of the last five seconds were served.
#include <cstdlib>  // EXIT_FAILURE
#include <string>   // string
#include <vector>   // vector

#include "bench/budget/report.h"
#include "bench/ceiling/schedule.h"

namespace {

using namespace coppervalve::bench;
using End = Fleet::End;

/// @brief A schedule and limits on its outcome. All its requests spend tokens,
/// as requests without tokens are served in any case.
struct BoundedSchedule {
  Schedule schedule;
  /// Minimum share of the requests of the last five seconds that is served.
  /// Service counts as restored if a quarter is served.
  double late_served_per_thousand = 250;
  /// Maximum share of the totals that is lost with crashed routers.
  double stranded_per_thousand = 0;
};

constexpr double kLossTimes[] = {8, 16, 24, 28, 34};
constexpr double kLastLoss = 34;

void KillAllInSeries(Fleet& fleet, End end) {
  for (const double at : kLossTimes) {
    KillAllAt(fleet, at, end);
  }
}

std::vector<BoundedSchedule> Schedules() {
  return {
      {{"one_loss",
        [](Fleet& fleet, const FleetOptions&) {
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        }},
       900,
       180},
      {{"losses_in_series",
        [](Fleet& fleet, const FleetOptions&) {
          KillAllInSeries(fleet, End::kPowerFailure);
        }},
       500,
       400},
      {{"crashes_in_series",
        [](Fleet& fleet, const FleetOptions&) {
          KillAllInSeries(fleet, End::kProcess);
        }},
       700,
       250},
      {{"losses_every_three_seconds",
        [](Fleet& fleet, const FleetOptions&) {
          for (double at = 4; at < kLastLoss; at += 3) {
            KillAllAt(fleet, at, End::kPowerFailure);
          }
        }},
       500,
       450},
      {{"losses_and_little_left",
        [](Fleet& fleet, const FleetOptions&) {
          KillAllAt(fleet, 16, End::kPowerFailure);
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        },
        0.95},
       250,
       300},
      {{"loss_between_cuts",
        [](Fleet& fleet, const FleetOptions& options) {
          PartitionAll(fleet, options, 4, 8);
          KillAllAt(fleet, 16, End::kPowerFailure);
          PartitionAll(fleet, options, 23, 8);
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        }},
       500,
       350},
      {{"loss_in_a_cut",
        [](Fleet& fleet, const FleetOptions& options) {
          fleet.RunUntil(5);
          fleet.SetPartitioned(0, options.routers, true);
          KillAllAt(fleet, 9, End::kPowerFailure);
          fleet.RunUntil(13);
          fleet.SetPartitioned(0, options.routers, false);
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        }},
       500,
       400},
      {{"loss_right_after_each_cut",
        [](Fleet& fleet, const FleetOptions& options) {
          for (const double at : {5.0, 17.0, 26.0}) {
            PartitionAll(fleet, options, at, 7);
            KillAllAt(fleet, at + 8, End::kPowerFailure);
          }
        }},
       500,
       350},
      {{"losses_with_half_cut_off",
        [](Fleet& fleet, const FleetOptions& options) {
          for (const double at : {10.0, 22.0, kLastLoss}) {
            KillAllAt(fleet, at, End::kPowerFailure);
            fleet.SetPartitioned(0, options.routers / 2, true);
            fleet.RunUntil(at + 4);
            fleet.SetPartitioned(0, options.routers / 2, false);
          }
        }},
       500,
       350},
      {{"losses_with_a_hot_account",
        [](Fleet& fleet, const FleetOptions&) {
          fleet.RunUntil(3);
          fleet.SetLoadFactor(3, 6);
          KillAllAt(fleet, 9, End::kPowerFailure);
          KillAllAt(fleet, 18, End::kPowerFailure);
          fleet.RunUntil(23);
          fleet.SetLoadFactor(3, 1);
          KillAllAt(fleet, 27, End::kPowerFailure);
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        }},
       400,
       400},
      {{"losses_between_drains",
        [](Fleet& fleet, const FleetOptions& options) {
          for (uint32_t i = 0; i < options.routers; ++i) {
            fleet.RunUntil(4 + 4 * i);
            fleet.Drain(i);
          }
          KillAllAt(fleet, 26, End::kPowerFailure);
          KillAllAt(fleet, kLastLoss, End::kPowerFailure);
        }},
       500,
       350},
  };
}

}  // namespace

int main() {
  Report report;
  for (const BoundedSchedule& bounded : Schedules()) {
    const std::string& name = bounded.schedule.name;
    const Outcome outcome = RunAllSeeds(bounded.schedule, Policy::kCeilings);
    const auto requests = static_cast<double>(outcome.requests);
    const auto total = static_cast<double>(outcome.total);
    report.Print(name + ".overspend", static_cast<double>(outcome.overspend),
                 "tokens", Bound{Bound::Kind::kAtMost, 0});
    report.Print(name + ".served",
                 PerThousand(static_cast<double>(outcome.served), requests),
                 "per thousand");
    report.Print(
        name + ".served_in_the_last_five_seconds",
        PerThousand(static_cast<double>(outcome.late_served),
                    static_cast<double>(outcome.late_requests)),
        "per thousand",
        Bound{Bound::Kind::kAtLeast, bounded.late_served_per_thousand});
    report.Print(name + ".stranded",
                 PerThousand(static_cast<double>(outcome.stranded), total),
                 "per thousand",
                 Bound{Bound::Kind::kAtMost, bounded.stranded_per_thousand});
  }
  return report.exceeded() ? EXIT_FAILURE : EXIT_SUCCESS;
}
