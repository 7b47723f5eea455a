#include <algorithm>      // any_of, max
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

// The publisher has checked the file in full. Here stands what the balances
// rest on, since a faulty publisher must not be able to break them.
std::optional<ConfigRejection> Check(EntryContext& context,
                                     const v1::ConfigPublished& r) {
  const State& state = context.state();
  if (context.stale()) {
    return ConfigRejection::kStale;
  }
  if (ConfigVersion(r.based_on()) != state.config.version) {
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

bool HasUpstream(const v1::Configuration& configuration,
                 const std::string& id) {
  return std::any_of(
      configuration.upstreams().begin(), configuration.upstreams().end(),
      [&id](const v1::Upstream& upstream) { return upstream.id() == id; });
}

}  // namespace

void FoldConfigPublished(EntryContext& context, const v1::ConfigPublished& r) {
  ConfigInForce& config = context.state().config;
  if (!r.change_id().empty() && r.change_id() == config.change_id) {
    // The reply to the first append was lost and its writer repeated it. A
    // rejection here would tell an operator that the own change had lost.
    context.Ignore(IgnoreReason::kDuplicate);
    return;
  }
  if (const auto rejection = Check(context, r)) {
    context.Emit(ConfigRejected{*rejection, r.change_id(),
                                ConfigVersion(r.based_on()), config.version,
                                config.operator_name, config.change_id});
    return;
  }
  config.version = ConfigVersion(r.based_on() + 1);
  config.offset = context.offset();
  config.operator_name = r.operator_name();
  config.change_id = r.change_id();
  config.configuration = std::make_shared<v1::Configuration>(r.configuration());
  context.Emit(
      ConfigAccepted{config.version, config.change_id, config.operator_name});
  context.state().budgets.ForgetPolicies();
  for (const v1::Budget& declared : r.configuration().budgets()) {
    InstallBudget(context, declared);
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

void FoldOrderIssued(EntryContext& context,
                     const v1::OrderIssued& r,
                     size_t index) {
  State& state = context.state();
  if (!HasUpstream(*state.config.configuration, r.upstream())) {
    context.Ignore(IgnoreReason::kUnknownUpstream);
    return;
  }
  if (context.from_operator() && !RememberOperatorRecord(context, index)) {
    return;
  }
  const core::UpstreamId upstream(r.upstream());
  const core::FencingNumber fencing(context.offset().value());
  state.orders[upstream] = Order{fencing, r};
  context.Emit(OrderInForce{upstream, fencing, r});
}

}  // namespace coppervalve::ledger::detail
