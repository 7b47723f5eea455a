#include "tools/load/false_refusals.h"

#include <algorithm>  // sort
#include <map>        // map

#include "tools/load/log_reader.h"
#include "tools/load/upstream_usage.h"

namespace coppervalve::load {

namespace {

using core::Tokens;

struct Refusal {
  Clock::time_point at;
  ClassStats* stats;
};

std::vector<Refusal> ChronologicalRefusals(
    std::vector<ClassStats>& class_stats) {
  std::vector<Refusal> refusals;
  for (ClassStats& stats : class_stats) {
    for (const Clock::time_point at : stats.token_refusals()) {
      refusals.push_back({at, &stats});
    }
  }
  std::sort(refusals.begin(), refusals.end(),
            [](const Refusal& a, const Refusal& b) { return a.at < b.at; });
  return refusals;
}

std::map<std::string, Tokens> UnspentByAccount(
    const ledger::Fold& fold,
    const v1::Configuration& configuration,
    const UpstreamUsage& usage) {
  const std::map<std::string, Tokens> used =
      UsageByBudget(configuration, usage);
  std::map<std::string, Tokens> unspent;
  for (const v1::Account& account : configuration.accounts()) {
    const ledger::Budget* budget =
        fold.FindBudget(core::BudgetId(account.budget()));
    const auto spent = used.find(account.budget());
    const Tokens used_tokens = spent == used.end() ? Tokens(0) : spent->second;
    unspent[account.id()] =
        (budget == nullptr ? Tokens(0) : budget->paid_in) - used_tokens;
  }
  return unspent;
}

}  // namespace

core::Result<std::vector<std::string>> CountFalseRefusals(
    const FalseRefusalSource& source,
    std::vector<ClassStats>& class_stats) {
  LogReader reader(source.log);
  const core::Status read = reader.CatchUp();
  if (!core::IsOk(read)) {
    return core::Failure(read);
  }
  const auto configuration = reader.fold().configuration();
  const UpstreamUsage usage =
      ReadUpstreamUsage(*configuration, source.record_folder);
  std::map<std::string, Tokens> unspent =
      UnspentByAccount(reader.fold(), *configuration, usage);
  for (const Refusal& refusal : ChronologicalRefusals(class_stats)) {
    const ClassPlan& plan = refusal.stats->plan();
    Tokens& left = unspent[plan.account];
    if (left < plan.Cost()) {
      continue;
    }
    left -= plan.Cost();
    refusal.stats->CountFalseRefusal();
  }
  return usage.missing;
}

}  // namespace coppervalve::load
