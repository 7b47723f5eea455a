// Measures the cost of applying the log: per entry, per record, per checkpoint
// and per snapshot, by number of members and budgets.
#include <string>  // string, to_string
#include <vector>  // vector

#include "bench/capacity/allocations.h"
#include "bench/capacity/fleet_records.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"
#include "coppervalve/config/tables.h"
#include "coppervalve/core/result.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/rules/rule_set.h"

namespace coppervalve::bench {

namespace {

constexpr double kNanosecondsPerMicrosecond = 1e3;
constexpr double kMebibyte = 1 << 20;
constexpr size_t kEntries = 4'000;
constexpr size_t kRecordsPerEntry = 64;

struct Cost {
  double allocations = 0;
  double cpu_us = 0;
};

template <typename Work>
Cost CostOf(const Work& work) {
  const uint64_t allocations = CountAllocations().calls;
  const int64_t start = ThreadCpuNanoseconds();
  work();
  const int64_t spent = ThreadCpuNanoseconds() - start;
  return {static_cast<double>(CountAllocations().calls - allocations),
          static_cast<double>(spent) / kNanosecondsPerMicrosecond};
}

/// @brief A fold without a router, and the writers' sequence numbers.
class FoldFixture {
 public:
  FoldFixture(const FleetSizes& sizes, uint64_t checkpoint_interval)
      : m_sizes(sizes),
        m_fold({100'000, checkpoint_interval, 16}),
        m_sequences(sizes.members, 1) {
    Apply(PublishEntry(MakeConfiguration(sizes), 0));
    for (size_t router = 1; router < sizes.members; ++router) {
      Apply(JoinEntry(router, next()));
    }
    for (size_t router = 1; router < sizes.members && sizes.holders > 0;
         ++router) {
      Apply(HoldingsEntry(sizes, router, ++m_sequences[router], next()));
    }
  }

  void Apply(const v1::Entry& entry) {
    const auto result = m_fold.Apply(core::LogOffset(next()), entry);
    m_failed = m_failed || !core::IsOk(result);
  }

  /// @brief The next entry of some router: keep-alive, or spend reports of
  /// budgets that it holds.
  v1::Entry NextEntry(size_t number, size_t records) {
    const size_t others = m_sizes.members - 1;
    const size_t router = 1 + number % others;
    v1::Entry entry = EntryOf(router, ++m_sequences[router], next());
    for (size_t i = 0; i < records; ++i) {
      const size_t budget = (router - 1 + i * others) % m_sizes.budgets;
      v1::SpendReported& report =
          *entry.add_records()->mutable_spend_reported();
      report.set_budget(NumberedId("budget", budget));
      report.set_spent(static_cast<int64_t>(m_sequences[router]) * 100);
    }
    return entry;
  }

  /// @brief Measures applying serialized entries, as read from the log.
  Cost CostOfEntries(size_t records) {
    Cost sum;
    for (size_t i = 0; i < kEntries; ++i) {
      const std::string bytes = NextEntry(i, records).SerializeAsString();
      const Cost one = CostOf([&] {
        v1::Entry entry;
        entry.ParseFromString(bytes);
        Apply(entry);
      });
      sum.allocations += one.allocations / kEntries;
      sum.cpu_us += one.cpu_us / kEntries;
    }
    return sum;
  }

  uint64_t next() const { return m_fold.next_offset().value(); }
  bool failed() const { return m_failed; }
  const ledger::Fold& fold() const { return m_fold; }

 private:
  FleetSizes m_sizes;
  ledger::Fold m_fold;
  std::vector<uint64_t> m_sequences;
  bool m_failed = false;
};

FleetSizes WithMembers(size_t members) {
  FleetSizes sizes{members, 10'000, 1'000, 100, 100, 38, 0};
  sizes.holders = 6;
  return sizes;
}

void ReportByMembers(Figures& figures) {
  for (const size_t members : kMemberSteps) {
    FoldFixture fixture(WithMembers(members), 0);
    const std::string suffix = "_members_" + std::to_string(members);
    const Cost idle = fixture.CostOfEntries(0);
    figures.CheckAtMost("fold_allocations_per_keep_alive" + suffix,
                        idle.allocations, "calls", 6);
    figures.PrintUnbounded("fold_cpu_per_keep_alive" + suffix, idle.cpu_us,
                           "us");
  }
}

void ReportEntries(Figures& figures, ControlInputs& inputs) {
  FoldFixture fixture(kDesign, 0);
  const Cost idle = fixture.CostOfEntries(0);
  const Cost loaded = fixture.CostOfEntries(kRecordsPerEntry);
  const Cost record{(loaded.allocations - idle.allocations) / kRecordsPerEntry,
                    (loaded.cpu_us - idle.cpu_us) / kRecordsPerEntry};
  figures.CheckAtMost("fold_allocations_per_entry_design", idle.allocations,
                      "calls", 6);
  figures.CheckAtMost("fold_allocations_per_spend_record_design",
                      record.allocations, "calls", 7);
  figures.PrintUnbounded("fold_cpu_per_entry_design", idle.cpu_us, "us");
  figures.PrintUnbounded("fold_cpu_per_spend_record_design", record.cpu_us,
                         "us");
  inputs.fold_us_per_entry = idle.cpu_us;
  inputs.fold_us_per_spend_record = record.cpu_us;
  figures.CheckAtMost("fold_errors", fixture.failed() ? 1 : 0, "count", 0);
}

void ReportWholeState(Figures& figures,
                      const std::string& name,
                      const FleetSizes& sizes,
                      double snapshot_bound,
                      ControlInputs* inputs) {
  FoldFixture fixture(sizes, 0);
  const Cost digest = CostOf([&] { (void)fixture.fold().Digest(); });
  v1::FoldState state;
  const Cost encode = CostOf([&] { state = fixture.fold().ToState(); });
  figures.CheckAtMost("snapshot_size_" + name,
                      static_cast<double>(state.ByteSizeLong()) / kMebibyte,
                      "MiB", snapshot_bound);
  figures.PrintUnbounded("snapshot_encode_cpu_" + name, encode.cpu_us, "us");
  figures.PrintUnbounded("checkpoint_cpu_" + name, digest.cpu_us, "us");
  figures.PrintUnbounded("checkpoint_allocations_" + name, digest.allocations,
                         "calls");
  if (inputs != nullptr) {
    inputs->checkpoint_us = digest.cpu_us;
  }
}

void ReportConfiguration(Figures& figures, ControlInputs& inputs) {
  const v1::Configuration configuration = MakeConfiguration(kDesign);
  const v1::Entry entry = PublishEntry(configuration, 1);
  const auto bytes = static_cast<double>(entry.ByteSizeLong());
  FoldFixture fixture(kDesign, 0);
  const Cost fold = CostOf([&] { fixture.Apply(entry); });
  const Cost compile = CostOf([&] {
    const auto tables = config::Compile(*fixture.fold().configuration());
    const rules::RuleSet rules(*fixture.fold().configuration(), tables);
  });
  figures.CheckAtMost("configuration_size_design", bytes / kMebibyte, "MiB",
                      12);
  figures.PrintUnbounded("configuration_fold_cpu_design", fold.cpu_us, "us");
  figures.PrintUnbounded("configuration_compile_cpu_design", compile.cpu_us,
                         "us");
  inputs.configuration_bytes = bytes;
}

}  // namespace

void MeasureFold(Figures& figures, ControlInputs& inputs) {
  ReportByMembers(figures);
  ReportEntries(figures, inputs);
  ReportWholeState(figures, "today", kTypicalSite, 0.02, nullptr);
  FleetSizes no_holdings = kDesign;
  no_holdings.holders = 0;
  ReportWholeState(figures, "design_no_holdings", no_holdings, 16, nullptr);
  ReportWholeState(figures, "design", kDesign, 64, &inputs);
  ReportConfiguration(figures, inputs);
}

}  // namespace coppervalve::bench
