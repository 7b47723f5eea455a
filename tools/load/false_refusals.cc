#include "tools/load/false_refusals.h"

#include <algorithm>  // sort
#include <map>        // map

#include "tools/load/log_reader.h"
#include "tools/load/upstream_use.h"

namespace coppervalve::load {

namespace {

using core::Tokens;

struct Refusal {
  Clock::time_point at;
  Tally* tally;
};

std::vector<Refusal> InOrderOfTime(std::vector<Tally>& tallies) {
  std::vector<Refusal> refusals;
  for (Tally& tally : tallies) {
    for (const Clock::time_point at : tally.token_refusals()) {
      refusals.push_back({at, &tally});
    }
  }
  std::sort(refusals.begin(), refusals.end(),
            [](const Refusal& a, const Refusal& b) { return a.at < b.at; });
  return refusals;
}

std::map<std::string, Tokens> UnspentByAccount(
    const ledger::Fold& fold,
    const v1::Configuration& configuration,
    const UpstreamUse& use) {
  const std::map<std::string, Tokens> used = UseByBudget(configuration, use);
  std::map<std::string, Tokens> unspent;
  for (const v1::Account& account : configuration.accounts()) {
    const ledger::Budget* budget =
        fold.FindBudget(core::BudgetId(account.budget()));
    const auto spent = used.find(account.budget());
    const Tokens gone = spent == used.end() ? Tokens(0) : spent->second;
    unspent[account.id()] =
        (budget == nullptr ? Tokens(0) : budget->paid_in) - gone;
  }
  return unspent;
}

}  // namespace

core::Result<std::vector<std::string>> JudgeRefusals(
    const ClairvoyantSource& source,
    std::vector<Tally>& tallies) {
  LogReader reader(source.log);
  const core::Status read = reader.CatchUp();
  if (!core::IsOk(read)) {
    return core::Failure(read);
  }
  const auto configuration = reader.fold().configuration();
  const UpstreamUse use = ReadUpstreamUse(*configuration, source.record_folder);
  std::map<std::string, Tokens> unspent =
      UnspentByAccount(reader.fold(), *configuration, use);
  for (const Refusal& refusal : InOrderOfTime(tallies)) {
    const ClassPlan& plan = refusal.tally->plan();
    Tokens& left = unspent[plan.account];
    if (left < plan.Cost()) {
      continue;
    }
    left -= plan.Cost();
    refusal.tally->CountFalseRefusal();
  }
  return use.missing;
}

}  // namespace coppervalve::load
