// Measures what a change of the fleet costs a router core at the design size: a
// retirement, a join, a configuration, a start from a snapshot; and the tokens
// that its own crash would strand.
#include <algorithm>  // max
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

#include "bench/capacity/allocations.h"
#include "bench/capacity/core_driver.h"
#include "bench/capacity/fleet_records.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"
#include "coppervalve/budget/holding_manager.h"
#include "coppervalve/core/result.h"
#include "coppervalve/ledger/fold.h"

namespace coppervalve::bench {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kMebibyte = 1 << 20;
constexpr core::Duration kSettleTime = std::chrono::seconds(30);
/// Enough entries for a snapshot and its checkpoint, and enough time for the
/// last of seven routers to be due.
constexpr size_t kSnapshotEntries = 600;
constexpr core::Duration kSnapshotTime = std::chrono::seconds(150);
constexpr core::Duration kChangeTime = std::chrono::milliseconds(20);

double Milliseconds(const EventCost& cost) {
  return cost.CpuMicrosecondsEach() * static_cast<double>(cost.events) /
         kMicrosecondsPerMillisecond;
}

/// @brief Measures the core reading one entry written by others.
double CostOfEntry(CoreDriver& driver, const v1::Entry& entry) {
  driver.ResetTraffic();
  driver.Append(entry);
  driver.Advance(kChangeTime);
  return Milliseconds(driver.traffic().Of<router::LogRead>());
}

v1::Entry RetireEntry(size_t router, uint64_t sequence, uint64_t seen_offset) {
  v1::Entry entry = EntryOf(1, sequence, seen_offset);
  v1::RouterRetired& retired = *entry.add_records()->mutable_router_retired();
  retired.set_router(RouterOf(router).value());
  retired.set_incarnation(IncarnationOf(router).value());
  retired.set_as_of_sequence(1'000);
  retired.set_reason(v1::SILENT);
  return entry;
}

void ReportChanges(Figures& figures,
                   CoreDriver& driver,
                   ControlInputs& inputs) {
  driver.SetKeepAlives(false);
  driver.Advance(kChangeTime);
  const size_t gone = kDesign.members - 1;
  const v1::Entry retire =
      RetireEntry(gone, driver.NextSequence(1), driver.log_end());
  figures.CheckAtMost("change_retirement_record",
                      static_cast<double>(retire.ByteSizeLong()), "bytes", 120);
  figures.PrintUnbounded("change_retirement_cpu", CostOfEntry(driver, retire),
                         "ms");
  figures.CheckAtMost(
      "change_retirement_allocations",
      static_cast<double>(driver.traffic().Of<router::LogRead>().allocations),
      "calls", 13'000);

  v1::Entry join = JoinEntry(gone, driver.log_end());
  join.set_incarnation(join.incarnation() + kDesign.members);
  figures.CheckAtMost("change_join_record",
                      static_cast<double>(join.ByteSizeLong()), "bytes", 200);
  figures.PrintUnbounded("change_join_cpu", CostOfEntry(driver, join), "ms");

  const uint64_t version = driver.core().fold().config_version().value();
  const v1::Entry publish = PublishEntry(MakeConfiguration(kDesign), version);
  const int64_t live = CountAllocations().live_bytes;
  ResetPeak();
  const double taken = CostOfEntry(driver, publish);
  figures.CheckAtMost(
      "change_configuration_peak",
      static_cast<double>(CountAllocations().peak_bytes - live) / kMebibyte,
      "MiB", 150);
  figures.PrintUnbounded("change_configuration_cpu", taken, "ms");
  inputs.configuration_us = taken * kMicrosecondsPerMillisecond;
  figures.CheckAtMost(
      "change_configuration_version",
      static_cast<double>(driver.core().fold().config_version().value()),
      "count", static_cast<double>(version + 1));
}

void ReportStranded(Figures& figures, const CoreDriver& driver) {
  const budget::HoldingManager& holding_manager =
      driver.core().holding_manager();
  int64_t ahead = 0;
  int64_t held = 0;
  v1::QuarantineNarrowed narrowed;
  for (const v1::BudgetStatus& status : holding_manager.Statuses()) {
    ahead += std::max<int64_t>(status.ceiling() - status.spent(), 0);
    held += status.held();
    if (status.ceiling() <= 0) {
      continue;
    }
    v1::Ceiling& ceiling = *narrowed.add_ceilings();
    ceiling.set_budget(status.id());
    ceiling.set_tokens(status.ceiling());
  }
  const budget::HoldingTotals& totals = holding_manager.Totals();
  figures.PrintUnbounded("crash_strands_with_witness",
                         static_cast<double>(ahead), "tokens");
  figures.PrintUnbounded("crash_strands_in_progress",
                         static_cast<double>(totals.reserved.value()),
                         "tokens");
  figures.PrintUnbounded("crash_strands_without_witness",
                         static_cast<double>(held), "tokens");
  figures.CheckAtMost("crash_strands_share",
                      static_cast<double>(ahead) / static_cast<double>(held),
                      "ratio", 0.1);
  figures.CheckAtMost("crash_narrowing_record",
                      static_cast<double>(narrowed.ByteSizeLong()), "bytes",
                      20'000);
  figures.CheckAtMost("crash_budgets_held", static_cast<double>(totals.budgets),
                      "count", 1'700);
}

/// @brief Reports whether a router appends a snapshot that is due, or rejects
/// it as too large.
void ReportSnapshots(Figures& figures,
                     const std::string& name,
                     size_t budgets) {
  FleetSizes sizes = kTypicalSite;
  sizes.budgets = budgets;
  CoreDriver driver(sizes);
  driver.Start();
  for (size_t i = 0; i < kSnapshotEntries; ++i) {
    driver.Append(EntryOf(1, driver.NextSequence(1), driver.log_end()));
  }
  driver.Advance(kSnapshotTime);
  const Traffic& traffic = driver.traffic();
  figures.PrintUnbounded(
      "snapshots_written_" + name,
      static_cast<double>(traffic.RecordsOf(v1::Record::kSnapshot).count),
      "count");
  figures.PrintUnbounded("snapshots_refused_" + name,
                         static_cast<double>(traffic.error_lines), "count");
}

void ReportStart(Figures& figures, const ledger::Fold& fold) {
  const std::string bytes = fold.ToState().SerializeAsString();
  const int64_t start = ThreadCpuNanoseconds();
  v1::FoldState state;
  state.ParseFromString(bytes);
  const auto loaded = ledger::Fold::FromState(state);
  figures.PrintUnbounded("start_from_snapshot_cpu",
                         static_cast<double>(ThreadCpuNanoseconds() - start) /
                             kNanosecondsPerMillisecond,
                         "ms");
  figures.CheckAtMost("start_from_snapshot_errors", core::IsOk(loaded) ? 0 : 1,
                      "count", 0);
}

}  // namespace

void MeasureChanges(Figures& figures, ControlInputs& inputs) {
  CoreDriver driver(kDesign);
  driver.Start();
  driver.SetLoad(
      ShareOfPeak(kDesign.accounts * kAddressesPerAccount / kDesign.members));
  driver.Advance(kSettleTime);
  ReportStranded(figures, driver);
  driver.SetLoad({});
  ReportChanges(figures, driver, inputs);
  ReportStart(figures, driver.core().fold());
  ReportSnapshots(figures, "today", kTypicalSite.budgets);
  ReportSnapshots(figures, "budgets_73000", kDesign.budgets);
}

}  // namespace coppervalve::bench
