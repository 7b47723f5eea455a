// Measures one router under its share of the peak load: the cost of a request's
// events, and what the router appends and sends.
#include <string>  // string

#include "bench/capacity/core_driver.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"

namespace coppervalve::bench {

namespace {

constexpr core::Duration kWarmUp = std::chrono::seconds(20);
constexpr double kMeasuredSeconds = 10;
/// Volumes are averaged over more than two refills of a holding. A refill is
/// requested after a fifth of ten minutes' demand.
constexpr core::Duration kVolumeWarmUp = std::chrono::seconds(240);
constexpr double kVolumeSeconds = 300;
constexpr double kNanosecondsPerSecond = 1e9;

struct VolumeBounds {
  double appends_per_second;
  double append_bytes_per_second;
  double raise_bytes_per_second;
};

core::Duration Seconds(double seconds) {
  return std::chrono::seconds(static_cast<int64_t>(seconds));
}

/// @return share of one core
double ShareOf(int64_t cpu_ns) {
  return static_cast<double>(cpu_ns) / kNanosecondsPerSecond / kMeasuredSeconds;
}

double Rate(uint64_t count) {
  return static_cast<double>(count) / kVolumeSeconds;
}

/// @brief Reports the cost of request events.
void ReportCosts(Figures& figures,
                 const std::string& suffix,
                 const FleetSizes& sizes,
                 const RequestLoad& load,
                 double bound,
                 ControlInputs& inputs) {
  CoreDriver driver(sizes);
  driver.Start();
  driver.SetLoad(load);
  driver.Advance(kWarmUp);
  driver.ResetTraffic();
  driver.Advance(Seconds(kMeasuredSeconds));
  const Traffic& traffic = driver.traffic();
  const EventCost& arrived = traffic.Of<router::RequestArrived>();
  const EventCost& token = traffic.Of<router::AttemptFirstToken>();
  const EventCost& done = traffic.Of<router::AttemptDone>();
  figures.CheckAtMost("request_allocations" + suffix,
                      arrived.AllocationsEach() + token.AllocationsEach() +
                          done.AllocationsEach(),
                      "calls", bound);
  figures.PrintUnbounded("request_cpu_arrived" + suffix,
                         arrived.CpuMicrosecondsEach(), "us");
  figures.PrintUnbounded("request_cpu_first_token" + suffix,
                         token.CpuMicrosecondsEach(), "us");
  figures.PrintUnbounded("request_cpu_done" + suffix,
                         done.CpuMicrosecondsEach(), "us");
  figures.CheckAtMost("request_refusals" + suffix,
                      static_cast<double>(traffic.refusals), "count", 0);
  const double requests = ShareOf(arrived.cpu_ns + token.cpu_ns + done.cpu_ns);
  const double all = ShareOf(traffic.CpuNanoseconds());
  const double reads = ShareOf(traffic.Of<router::LogRead>().cpu_ns);
  figures.PrintUnbounded("request_core_share" + suffix, requests * 100,
                         "percent");
  figures.PrintUnbounded("all_events_core_share" + suffix, all * 100,
                         "percent");
  inputs.request_core_share = requests;
  inputs.upkeep_core_share = all - requests - reads;
}

/// @brief Reports what one router appends and sends. This depends on the
/// budgets that it serves, not on all budgets, so a small fleet suffices.
void ReportVolumes(Figures& figures,
                   const std::string& suffix,
                   const RequestLoad& load,
                   const VolumeBounds& bounds,
                   ControlInputs& inputs) {
  FleetSizes sizes = kTypicalSite;
  sizes.accounts = load.accounts;
  sizes.budgets = load.accounts;
  sizes.models = kDesign.models;
  sizes.upstreams = 1'000;
  CoreDriver driver(sizes);
  driver.Start();
  driver.SetLoad(load);
  driver.Advance(kVolumeWarmUp);
  driver.ResetTraffic();
  driver.Advance(Seconds(kVolumeSeconds));
  const Traffic& traffic = driver.traffic();
  figures.CheckAtMost("appends" + suffix, Rate(traffic.appended.count), "per_s",
                      bounds.appends_per_second);
  // The simulated routers take no snapshots, so this one takes all of them.
  // They are therefore counted separately.
  const Volume snapshots = traffic.RecordsOf(v1::Record::kSnapshot);
  const uint64_t bytes = traffic.appended.bytes - snapshots.bytes;
  figures.CheckAtMost("append_bytes" + suffix, Rate(bytes), "bytes_per_s",
                      bounds.append_bytes_per_second);
  figures.PrintUnbounded("append_records" + suffix, Rate(traffic.RecordCount()),
                         "per_s");
  figures.PrintUnbounded(
      "append_records_spend" + suffix,
      Rate(traffic.RecordsOf(v1::Record::kSpendReported).count), "per_s");
  figures.PrintUnbounded(
      "append_records_grant" + suffix,
      Rate(traffic.RecordsOf(v1::Record::kAllotmentRequested).count), "per_s");
  figures.PrintUnbounded(
      "append_records_return" + suffix,
      Rate(traffic.RecordsOf(v1::Record::kAllotmentReturned).count), "per_s");
  figures.PrintUnbounded("raise_messages" + suffix,
                         Rate(traffic.ceiling_raises.count), "per_s");
  figures.CheckAtMost("raise_bytes" + suffix,
                      Rate(traffic.ceiling_raises.bytes), "bytes_per_s",
                      bounds.raise_bytes_per_second);
  figures.CheckAtMost("volume_refusals" + suffix,
                      static_cast<double>(traffic.refusals), "count", 0);
  inputs.appends_per_second = Rate(traffic.appended.count);
  inputs.append_bytes_per_second = Rate(bytes);
  inputs.records_per_second = Rate(traffic.RecordCount());
  inputs.raise_bytes_per_second = Rate(traffic.ceiling_raises.bytes);
}

}  // namespace

void MeasureRequests(Figures& figures, ControlInputs& inputs) {
  RequestLoad typical_load;
  typical_load.per_second = 20;
  typical_load.accounts = kTypicalSite.accounts;
  typical_load.answer_time = std::chrono::seconds(2);
  typical_load.output = core::Tokens(390);
  FleetSizes members = kTypicalSite;
  members.members = kDesign.members;
  FleetSizes upstreams = kTypicalSite;
  upstreams.upstreams = kDesign.upstreams;
  const RequestLoad one_address =
      ShareOfPeak(kDesign.accounts / kDesign.members);
  const RequestLoad all_addresses =
      ShareOfPeak(kDesign.accounts * kAddressesPerAccount / kDesign.members);

  ReportCosts(figures, "_today", kTypicalSite, typical_load, 200, inputs);
  ReportCosts(figures, "_members_840", members, typical_load, 3'200, inputs);
  ReportCosts(figures, "_upstreams_10000", upstreams, typical_load, 200,
              inputs);
  ReportCosts(figures, "_design", kDesign, all_addresses, 3'200, inputs);

  ReportVolumes(figures, "_today", typical_load, {1.5, 900, 600}, inputs);
  ReportVolumes(figures, "_share_one_address", one_address, {2.5, 4'500, 3'500},
                inputs);
  ReportVolumes(figures, "_share", all_addresses, {6, 6'000, 3'500}, inputs);
}

}  // namespace coppervalve::bench
