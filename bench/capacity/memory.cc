// Measures the memory of one router core: the total at the design size, and the
// increase per object of each kind.
#include <memory>  // unique_ptr
#include <string>  // string

#include "bench/capacity/allocations.h"
#include "bench/capacity/core_driver.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"

namespace coppervalve::bench {

namespace {

constexpr double kMebibyte = 1 << 20;
/// Small enough to build fast, large enough that fixed costs are negligible.
constexpr FleetSizes kBase{7, 1'000, 1'000, 100, 100, 38, 0};

double LiveBytesOf(const FleetSizes& sizes) {
  const int64_t before = CountAllocations().live_bytes;
  CoreDriver driver(sizes);
  driver.SetKeepAlives(false);
  driver.Start();
  return static_cast<double>(CountAllocations().live_bytes - before);
}

void ReportSlope(Figures& figures,
                 const std::string& what,
                 const FleetSizes& fewer,
                 const FleetSizes& more,
                 double added,
                 double bound) {
  const double slope = (LiveBytesOf(more) - LiveBytesOf(fewer)) / added;
  figures.CheckAtMost("memory_slope_" + what, slope, "bytes", bound);
}

void ReportWhole(Figures& figures,
                 const std::string& name,
                 const FleetSizes& sizes,
                 double bound) {
  TrimFreedMemory();
  const int64_t resident = ResidentBytes();
  const int64_t live = CountAllocations().live_bytes;
  CoreDriver driver(sizes);
  driver.SetKeepAlives(false);
  driver.Start();
  figures.CheckAtMost(
      "memory_core_allocated_" + name,
      static_cast<double>(CountAllocations().live_bytes - live) / kMebibyte,
      "MiB", bound);
  figures.PrintUnbounded(
      "memory_core_resident_" + name,
      static_cast<double>(ResidentBytes() - resident) / kMebibyte, "MiB");
  // The figure above includes memory that the driver has freed: the
  // configuration that it built.
  TrimFreedMemory();
  figures.PrintUnbounded(
      "memory_core_resident_trimmed_" + name,
      static_cast<double>(ResidentBytes() - resident) / kMebibyte, "MiB");
}

}  // namespace

void MeasureMemory(Figures& figures) {
  FleetSizes without_holdings = kDesign;
  without_holdings.holders = 0;
  // These run first, since later growth would be served from memory that
  // earlier runs freed.
  ReportWhole(figures, "design", kDesign, 256);
  ReportWhole(figures, "design_no_holdings", without_holdings, 256);
  ReportWhole(figures, "today", kTypicalSite, 0.2);

  FleetSizes more = kBase;
  more.members = 840;
  ReportSlope(figures, "member", kBase, more, 833, 2'200);
  more = kBase;
  more.budgets = 73'000;
  ReportSlope(figures, "budget", kBase, more, 72'000, 900);
  more = kBase;
  more.accounts = 41'000;
  ReportSlope(figures, "account", kBase, more, 40'000, 1'200);
  more = kBase;
  more.rules = 10'000;
  ReportSlope(figures, "rule", kBase, more, 9'900, 1'600);
  more = kBase;
  more.upstreams = 10'000;
  ReportSlope(figures, "upstream", kBase, more, 9'900, 2'200);
  FleetSizes fewer = kBase;
  fewer.budgets = 73'000;
  more = fewer;
  more.holders = 6;
  ReportSlope(figures, "holding", fewer, more, 432'200, 190);
}

}  // namespace coppervalve::bench
