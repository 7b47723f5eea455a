// Measures an idle router core: the cost of a tick, a heartbeat and an applied
// keep-alive, by number of members, budgets and upstreams.
#include <string>  // string, to_string

#include "bench/capacity/core_driver.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"

namespace coppervalve::bench {

namespace {

constexpr core::Duration kSettleTime = std::chrono::seconds(4);
constexpr core::Duration kMeasuredTime = std::chrono::seconds(9);
constexpr double kMeasuredSeconds = 9;
constexpr double kNanosecondsPerSecond = 1e9;

struct IdleBounds {
  double tick_allocations;
  double heartbeat_allocations;
  double read_allocations;
};

void ReportEvents(Figures& figures,
                  const std::string& suffix,
                  const Traffic& traffic,
                  const IdleBounds& bounds) {
  const EventCost& tick = traffic.Of<router::Tick>();
  const EventCost& heard = traffic.Of<router::PeerReceived>();
  const EventCost& read = traffic.Of<router::LogRead>();
  figures.CheckAtMost("idle_allocations_per_tick" + suffix,
                      tick.AllocationsEach(), "calls", bounds.tick_allocations);
  figures.CheckAtMost("idle_allocations_per_heartbeat" + suffix,
                      heard.AllocationsEach(), "calls",
                      bounds.heartbeat_allocations);
  figures.CheckAtMost("idle_allocations_per_read" + suffix,
                      read.AllocationsEach(), "calls", bounds.read_allocations);
  figures.PrintUnbounded("idle_cpu_per_tick" + suffix,
                         tick.CpuMicrosecondsEach(), "us");
  figures.PrintUnbounded("idle_cpu_per_heartbeat" + suffix,
                         heard.CpuMicrosecondsEach(), "us");
  figures.PrintUnbounded("idle_cpu_per_read" + suffix,
                         read.CpuMicrosecondsEach(), "us");
}

/// @return processor time of a tick, in microseconds
double Run(Figures& figures,
           const std::string& suffix,
           const FleetSizes& sizes,
           const IdleBounds& bounds) {
  CoreDriver driver(sizes);
  driver.Start();
  driver.Advance(kSettleTime);
  driver.ResetTraffic();
  driver.Advance(kMeasuredTime);
  const Traffic& traffic = driver.traffic();
  ReportEvents(figures, suffix, traffic, bounds);
  const double share = static_cast<double>(traffic.CpuNanoseconds()) /
                       kNanosecondsPerSecond / kMeasuredSeconds;
  figures.PrintUnbounded("idle_core_share" + suffix, share * 100, "percent");
  figures.CheckAtMost(
      "idle_log_written" + suffix,
      static_cast<double>(traffic.appended.bytes) / kMeasuredSeconds,
      "bytes_per_s", 20);
  figures.PrintUnbounded(
      "idle_log_read" + suffix,
      static_cast<double>(traffic.read.bytes) / kMeasuredSeconds,
      "bytes_per_s");
  figures.PrintUnbounded(
      "idle_entries_read" + suffix,
      static_cast<double>(traffic.read.count) / kMeasuredSeconds, "per_s");
  return traffic.Of<router::Tick>().CpuMicrosecondsEach();
}

}  // namespace

void MeasureIdle(Figures& figures, ControlInputs& inputs) {
  for (const size_t members : kMemberSteps) {
    FleetSizes sizes = kTypicalSite;
    sizes.members = members;
    const auto count = static_cast<double>(members);
    Run(figures, "_members_" + std::to_string(members), sizes,
        {60 + 1.25 * count, 40 + 1.25 * count, 80 + 1.5 * count});
  }
  FleetSizes budgets = kTypicalSite;
  budgets.budgets = 73'000;
  Run(figures, "_budgets_73000", budgets, {45, 30, 80});
  FleetSizes upstreams = kTypicalSite;
  upstreams.upstreams = 10'000;
  Run(figures, "_upstreams_10000", upstreams, {45, 30, 80});
  inputs.idle_event_us =
      Run(figures, "_design", kDesign, {1'200, 1'200, 1'600});
}

}  // namespace coppervalve::bench
