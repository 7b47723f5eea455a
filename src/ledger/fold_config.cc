#include <algorithm>      // max
#include <memory>         // make_shared
#include <unordered_set>  // unordered_set

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::ConfigVersion;
using core::Tokens;

namespace {

core::Tokens Growth(const State& state, const v1::Budget& declared) {
  const Budget* known = state.budgets.Find(core::BudgetId(declared.id()));
  const Tokens before = known ? known->paid_in_by_config : Tokens(0);
  return Tokens(declared.prepaid_tokens()) - before;
}

bool FitsBalance(const State& state, const v1::Budget& declared) {
  const Budget* known = state.budgets.Find(core::BudgetId(declared.id()));
  const Tokens paid_in = known ? known->paid_in : Tokens(0);
  return Growth(state, declared) <= kMaxPaidIn - paid_in;
}

// The publisher has validated the whole file. Only what the balances depend on
// is checked here, so that a faulty publisher cannot corrupt them.
std::optional<ConfigRejection> CheckProposal(EntryContext& context,
                                             const v1::ConfigPublished& r) {
  const State& state = context.state();
  if (context.stale()) {
    return ConfigRejection::kStale;
  }
  if (ConfigVersion(r.based_on()) != state.config.version ||
      state.quorum.PendingProposal() != nullptr) {
    return ConfigRejection::kConflict;
  }
  std::unordered_set<std::string> ids;
  for (const v1::Budget& declared : r.configuration().budgets()) {
    if (declared.id().empty() || !ids.insert(declared.id()).second) {
      return ConfigRejection::kInvalid;
    }
    if (declared.prepaid_tokens() < 0 || !FitsBalance(state, declared)) {
      return ConfigRejection::kInvalid;
    }
    if (Growth(state, declared) < Tokens(0)) {
      return ConfigRejection::kPrepaidShrinks;
    }
  }
  return std::nullopt;
}

void InstallBudget(EntryContext& context, const v1::Budget& declared) {
  const Tokens growth = Growth(context.state(), declared);
  Budget& budget =
      context.state().budgets.Declare(core::BudgetId(declared.id()));
  ApplyPolicy(declared, budget);
  if (growth == Tokens(0)) {
    return;
  }
  budget.paid_in_by_config += growth;
  PayIn(budget, growth);
  context.Emit(PaidIn{budget.id, growth, ""});
}

// Detects a publication that was appended again because the reply to the first
// append was lost. Otherwise the operator would get a conflict between the
// change and itself.
bool IsRepetition(const State& state, const v1::ConfigPublished& r) {
  const Proposal* waiting = state.quorum.PendingProposal();
  const bool waits =
      waiting != nullptr && r.change_id() == waiting->published.change_id();
  return !r.change_id().empty() &&
         (waits || r.change_id() == state.config.change_id);
}

void InstallConfig(EntryContext& context,
                   core::LogOffset offset,
                   const v1::ConfigPublished& r) {
  ConfigInForce& config = context.state().config;
  config.version = ConfigVersion(r.based_on() + 1);
  config.offset = offset;
  config.operator_name = r.operator_name();
  config.change_id = r.change_id();
  config.configuration = std::make_shared<v1::Configuration>(r.configuration());
  context.Emit(
      ConfigAccepted{config.version, config.change_id, config.operator_name});
  context.state().budgets.ResetPolicies();
  for (const v1::Budget& declared : r.configuration().budgets()) {
    InstallBudget(context, declared);
  }
}

}  // namespace

void FoldConfigPublished(EntryContext& context, const v1::ConfigPublished& r) {
  State& state = context.state();
  if (IsRepetition(state, r)) {
    context.Ignore(IgnoreReason::kDuplicate);
    return;
  }
  if (const auto rejection = CheckProposal(context, r)) {
    const Proposal* waiting = state.quorum.PendingProposal();
    const ConfigInForce& config = state.config;
    context.Emit(ConfigRejected{
        *rejection, r.change_id(), ConfigVersion(r.based_on()), config.version,
        waiting ? waiting->published.operator_name() : config.operator_name,
        waiting ? waiting->published.change_id() : config.change_id});
    return;
  }
  state.quorum.AddPending({context.offset(), Proposal{r}});
  context.Emit(ConfigProposed{ConfigVersion(r.based_on() + 1), r.change_id(),
                              r.operator_name()});
}

// The required majority prevents two configurations from being in force at
// once, when a minority of the routers reads a configuration that the others,
// cut off from the log, cannot read. A configuration in force was read by more
// than half of the voters; routers continue without the log only in a group of
// more than half, none of which knows of a proposal; and any two majorities
// share a voter.
void ApplyReadyChanges(EntryContext& context) {
  State& state = context.state();
  while (auto ready = state.quorum.TakeReadyChange()) {
    if (const auto* joins = std::get_if<VoterJoins>(&ready->change)) {
      const Member* member = state.members.Find(joins->incarnation);
      if (member != nullptr && member->live()) {
        state.quorum.Add(joins->incarnation, ready->offset);
        context.Emit(VotersChanged{state.quorum.voters().size()});
      }
    } else if (const auto* leaves = std::get_if<VoterLeaves>(&ready->change)) {
      state.quorum.Remove(leaves->incarnation);
      context.Emit(VotersChanged{state.quorum.voters().size()});
    } else if (const auto* proposal = std::get_if<Proposal>(&ready->change)) {
      InstallConfig(context, ready->offset, proposal->published);
    }
  }
}

void FoldConfigConfirmed(EntryContext& context, const v1::ConfigConfirmed& r) {
  const ConfigVersion version(r.version());
  if (version > context.state().config.version) {
    context.Ignore(IgnoreReason::kInvalid);
    return;
  }
  Member& member = *context.writer();
  member.confirmed_config = std::max(member.confirmed_config, version);
  context.Emit(ConfigConfirmed{member.id, member.incarnation, version});
}

}  // namespace coppervalve::ledger::detail
