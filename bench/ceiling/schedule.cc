#include "bench/ceiling/schedule.h"

namespace coppervalve::bench {

void PartitionAll(Fleet& fleet,
                  const FleetOptions& options,
                  double at,
                  double span) {
  fleet.RunUntil(at);
  fleet.SetPartitioned(0, options.routers, true);
  fleet.RunUntil(at + span);
  fleet.SetPartitioned(0, options.routers, false);
}

void KillAllAt(Fleet& fleet, double at, Fleet::End end) {
  fleet.RunUntil(at);
  fleet.KillAll(end);
}

Outcome RunAllSeeds(const Schedule& schedule, Policy policy) {
  Outcome sum;
  for (uint64_t seed = 1; seed <= kScheduleSeeds; ++seed) {
    FleetOptions options;
    options.seed = seed;
    options.prepaid_ratio = schedule.prepaid_ratio;
    Fleet fleet(options, policy);
    schedule.run(fleet, options);
    const Outcome one = fleet.Finish();
    sum.requests += one.requests;
    sum.served += one.served;
    sum.false_refusals += one.false_refusals;
    sum.overspend += one.overspend;
    sum.stranded += one.stranded;
    sum.total += one.total;
    sum.records += one.records;
    sum.late_requests += one.late_requests;
    sum.late_served += one.late_served;
  }
  return sum;
}

double PerThousand(double part, double whole) {
  return 1'000 * part / whole;
}

}  // namespace coppervalve::bench
