// Runs a fleet under random faults: `fuzz-router --seeds N [--first S]`. A seed
// that violates an invariant prints its trace; the same seed repeats the run.
#include <CLI/CLI.hpp>

#include <cstdint>   // uint64_t
#include <iostream>  // cout

#include "coppervalve/trial/chaos.h"

namespace {

using coppervalve::trial::ChaosOptions;
using coppervalve::trial::ChaosResult;

void Print(uint64_t seed, const ChaosResult& result) {
  std::cout << "seed " << seed
            << (result.violations.empty() ? " ok" : " FAILED") << ": wishes "
            << result.total.client_requests << " whole "
            << result.total.complete << " refused " << result.total.refused
            << " unknown " << result.total.unknown << " open "
            << result.total.open << " false refusals "
            << result.total.false_refusals << " used " << result.tokens.used
            << " of " << result.tokens.paid_in << " stranded "
            << result.tokens.stranded << " retirements " << result.retirements
            << " orders applied " << result.orders_applied << " appends "
            << result.log_appends << '\n';
  if (result.violations.empty()) {
    return;
  }
  for (const std::string& line : result.trace) {
    std::cout << "  " << line << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs a fleet of routers under random faults.");
  uint64_t seeds = 20;
  uint64_t first = 1;
  bool quiet = false;
  ChaosOptions options;
  app.add_option("--seeds", seeds, "how many seeds to run");
  app.add_option("--first", first, "the first seed");
  app.add_option("--log-retain", options.log_retain,
                 "entries that the log keeps, 0 for all");
  app.add_flag("--quiet", quiet, "print failing seeds and the sum only");
  CLI11_PARSE(app, argc, argv);

  uint64_t failed = 0;
  uint64_t client_requests = 0;
  uint64_t complete = 0;
  uint64_t false_refusals = 0;
  uint64_t orders_applied = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    options.seed = seed;
    const ChaosResult result = coppervalve::trial::RunChaos(options);
    failed += result.violations.empty() ? 0 : 1;
    client_requests += result.total.client_requests;
    complete += result.total.complete;
    false_refusals += result.total.false_refusals;
    orders_applied += result.orders_applied;
    if (!quiet || !result.violations.empty()) {
      Print(seed, result);
    }
  }
  std::cout << "fuzz: " << seeds - failed << " seeds passed, " << failed
            << " failed; wishes " << client_requests << " whole " << complete
            << " false refusals " << false_refusals << " orders applied "
            << orders_applied << '\n';
  return failed == 0 ? 0 : 1;
}
