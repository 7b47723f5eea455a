// Measures budgets under the standard schedules: `bench-budget [--only NAME]`.
// Runs real router cores in virtual time, so the figures are the same on every
// machine.
#include <CLI/CLI.hpp>

#include <algorithm>  // max
#include <chrono>     // duration
#include <cstdint>    // uint64_t
#include <optional>   // optional
#include <string>     // string

#include "bench/budget/report.h"
#include "bench/budget/schedule_runner.h"
#include "bench/budget/schedules.h"

namespace {

using coppervalve::bench::Bound;
using coppervalve::bench::Outcome;
using coppervalve::bench::Report;
using coppervalve::bench::Schedule;
using coppervalve::bench::ScheduleBounds;
using coppervalve::bench::ScheduleRunner;
namespace budget = coppervalve::budget;
namespace v1 = coppervalve::v1;

Outcome RunSchedule(const Schedule& schedule,
                    const budget::SizingPolicy& sizing) {
  ScheduleRunner runner(schedule.seed, schedule.load, sizing);
  runner.Start();
  schedule.execute(runner);
  return runner.Finish();
}

double PerThousand(uint64_t count, const Outcome& outcome) {
  return 1000.0 * static_cast<double>(count) /
         static_cast<double>(
             std::max<uint64_t>(outcome.total.client_requests, 1));
}

/// @brief Prints the figures of one schedule next to the baseline's.
class Comparison {
 public:
  Comparison(Report& report,
             const Schedule& schedule,
             const Outcome& own,
             const Outcome& baseline)
      : m_report(report),
        m_schedule(schedule),
        m_own(own),
        m_baseline(baseline) {}

  void PrintAll() {
    const ScheduleBounds& bounds = m_schedule.bounds;
    PrintPair("overspend", "tokens", 0, [](const Outcome& o) {
      return static_cast<double>(o.overspend);
    });
    PrintPair("violations", "count", 0, [](const Outcome& o) {
      return static_cast<double>(o.violations);
    });
    PrintClass("gate", v1::GATE, bounds.lost.gate);
    PrintClass("interactive", v1::INTERACTIVE, bounds.lost.interactive);
    PrintClass("batch", v1::BATCH, bounds.lost.batch);
    PrintPair(
        "whole", "wishes", Bound{Bound::Kind::kAtLeast, bounds.complete},
        [](const Outcome& o) { return static_cast<double>(o.total.complete); });
    PrintPair("false_ends", "wishes", bounds.false_final_refusals,
              [](const Outcome& o) {
                return static_cast<double>(o.total.false_final_refusals);
              });
    PrintPair(
        "lost", "wishes",
        bounds.lost.gate + bounds.lost.interactive + bounds.lost.batch,
        [](const Outcome& o) { return static_cast<double>(o.total.lost); });
    PrintPair("false_refusals", "tickets", bounds.false_refusals,
              [](const Outcome& o) {
                return static_cast<double>(o.total.false_refusals);
              });
    PrintRatio();
    PrintPair("stranded", "tokens", bounds.stranded, [](const Outcome& o) {
      return static_cast<double>(o.tokens.stranded);
    });
    PrintPair("log_appends", "per_thousand_wishes", bounds.appends,
              [](const Outcome& o) { return PerThousand(o.log_appends, o); });
    PrintPair("peer_messages", "per_thousand_wishes", bounds.peer_messages,
              [](const Outcome& o) { return PerThousand(o.peer_messages, o); });
    if (m_own.crashes > 0) {
      PrintCrashes();
    }
  }

 private:
  template <typename Reader>
  void PrintPair(const std::string& what,
                 const std::string& unit,
                 double at_most,
                 Reader read) {
    PrintPair(what, unit, Bound{Bound::Kind::kAtMost, at_most}, read);
  }

  template <typename Reader>
  void PrintPair(const std::string& what,
                 const std::string& unit,
                 const Bound& bound,
                 Reader read) {
    const std::string name = m_schedule.name + "." + what;
    m_report.Print(name, read(m_own), unit, bound);
    m_report.Print(name + ".equal_split", read(m_baseline), unit);
  }

  void PrintClass(const std::string& name,
                  v1::AdmissionClass admission_class,
                  double bound) {
    const auto of = [admission_class](const Outcome& outcome) {
      const auto found = outcome.classes.find(admission_class);
      return found == outcome.classes.end() ? coppervalve::trial::ClassCount{}
                                            : found->second;
    };
    PrintPair("lost_" + name, "wishes", bound, [&of](const Outcome& o) {
      return static_cast<double>(of(o).lost);
    });
    m_report.Print(m_schedule.name + ".false_refusals_" + name,
                   static_cast<double>(of(m_own).false_refusals), "tickets");
    m_report.Print(m_schedule.name + ".false_refusals_" + name + ".equal_split",
                   static_cast<double>(of(m_baseline).false_refusals),
                   "tickets");
  }

  /// Prints how many times fewer requests are lost than with the baseline; a
  /// count of 0 is taken as 1.
  void PrintRatio() {
    const auto own = std::max<uint64_t>(m_own.total.lost, 1);
    const double ratio =
        static_cast<double>(m_baseline.total.lost) / static_cast<double>(own);
    std::optional<Bound> bound;
    if (m_schedule.bounds.min_loss_ratio > 0) {
      bound = Bound{Bound::Kind::kAtLeast, m_schedule.bounds.min_loss_ratio};
    }
    m_report.Print(m_schedule.name + ".times_fewer_lost", ratio, "ratio",
                   bound);
  }

  void PrintCrashes() {
    PrintPair("stranded_per_crash", "tokens", m_schedule.bounds.crash_stranded,
              [](const Outcome& o) {
                return static_cast<double>(o.tokens.stranded) /
                       static_cast<double>(o.crashes);
              });
    PrintPair("crashes_without_return", "count", 0, [](const Outcome& o) {
      return static_cast<double>(o.crashes - o.crashes_returned);
    });
    PrintPair("crash_to_spendable", "virtual_seconds",
              m_schedule.bounds.crash_return, [](const Outcome& o) {
                return std::chrono::duration<double>(o.return_time).count();
              });
  }

  Report& m_report;
  const Schedule& m_schedule;
  const Outcome& m_own;
  const Outcome& m_baseline;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures budgets under the standard schedules.");
  std::string only;
  app.add_option("--only", only, "run the schedule of this name only");
  uint64_t seed_offset = 0;
  app.add_option("--seed-offset", seed_offset, "added to each schedule's seed");
  CLI11_PARSE(app, argc, argv);

  Report report;
  for (Schedule schedule : coppervalve::bench::StandardSchedules()) {
    if (!only.empty() && schedule.name != only) {
      continue;
    }
    schedule.seed += seed_offset;
    const Outcome own = RunSchedule(schedule, budget::DefaultSizing());
    const Outcome baseline = RunSchedule(schedule, budget::EqualSplit());
    Comparison(report, schedule, own, baseline).PrintAll();
  }
  return report.exceeded() ? 1 : 0;
}
