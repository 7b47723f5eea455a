// Measures one rule match by number of rules: the index against a linear scan.
#include <string>   // string, to_string
#include <variant>  // holds_alternative

#include "bench/capacity/allocations.h"
#include "bench/capacity/fleet_records.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"
#include "coppervalve/rules/rule_set.h"

namespace coppervalve::bench {

namespace {

constexpr size_t kMatches = 2'000;
constexpr double kNanosecondsPerMicrosecond = 1e3;

struct Cost {
  double allocations = 0;
  double cpu_us = 0;
};

template <typename Match>
Cost CostOfMatches(const FleetSizes& sizes, const Match& match) {
  Cost cost;
  for (size_t i = 0; i < kMatches; ++i) {
    // Spread over all rules, so that the linear scan visits half of them.
    const size_t rule = i * sizes.rules / kMatches;
    rules::RequestFacts facts;
    facts.account = core::AccountId(NumberedId("account", rule));
    facts.model = core::ModelId(ModelOf(sizes, rule));
    facts.method = "POST";
    facts.path = "/v1/chat/completions";
    const uint64_t allocations = CountAllocations().calls;
    const int64_t start = ThreadCpuNanoseconds();
    const rules::Decision decision = match(facts);
    cost.cpu_us += static_cast<double>(ThreadCpuNanoseconds() - start) /
                   kNanosecondsPerMicrosecond / kMatches;
    cost.allocations +=
        static_cast<double>(CountAllocations().calls - allocations) / kMatches;
    (void)std::holds_alternative<rules::Route>(decision);
  }
  return cost;
}

}  // namespace

void MeasureRules(Figures& figures) {
  for (const size_t count : {size_t{10}, size_t{1'000}, size_t{10'000}}) {
    FleetSizes sizes = kDesign;
    sizes.budgets = 1'000;
    sizes.upstreams = 1'000;
    sizes.rules = count;
    const rules::RuleSet rules(MakeConfiguration(sizes));
    const Cost indexed = CostOfMatches(
        sizes, [&](const auto& facts) { return rules.Match(facts); });
    const Cost linear = CostOfMatches(
        sizes, [&](const auto& facts) { return rules.MatchLinear(facts); });
    const std::string suffix = "_" + std::to_string(count);
    figures.CheckAtMost("rule_match_allocations" + suffix, indexed.allocations,
                        "calls", 8);
    figures.PrintUnbounded("rule_match_cpu" + suffix, indexed.cpu_us, "us");
    figures.PrintUnbounded("rule_match_linear_cpu" + suffix, linear.cpu_us,
                           "us");
    figures.PrintUnbounded("rule_match_linear_to_indexed" + suffix,
                           linear.cpu_us / indexed.cpu_us, "ratio");
  }
}

}  // namespace coppervalve::bench
