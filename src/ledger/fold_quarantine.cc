#include <algorithm>      // max, min
#include <unordered_map>  // unordered_map

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::BudgetId;
using core::Incarnation;
using core::RouterId;
using core::Tokens;

namespace {

using Ceilings = std::unordered_map<BudgetId, Tokens>;

Ceilings ReadCeilings(const v1::QuarantineNarrowed& r) {
  Ceilings ceilings;
  for (const v1::Ceiling& ceiling : r.ceilings()) {
    Tokens& highest = ceilings[BudgetId(ceiling.budget())];
    highest = std::max(highest, Tokens(ceiling.tokens()));
  }
  return ceilings;
}

// Only the current witness may report ceilings. A former witness would report
// the ceilings it acknowledged, while the router may have committed up to the
// higher ones of the current witness; tokens would be both released and spent.
bool IsWitnessInForce(const Member* writer, const Member& retired) {
  return writer != nullptr && !retired.live() &&
         writer->id == retired.witness &&
         writer->incarnation == retired.witness_incarnation;
}

void ApplyCeiling(EntryContext& context,
                  Member& member,
                  Budget& budget,
                  Tokens reported) {
  HoldingRef ref = context.GetOrCreateHolding(member, budget);
  Holding& holding = ref.holding();
  const Tokens committed = holding.spent + holding.transferred_out;
  const Tokens ceiling = std::max(reported, committed);
  holding.ceiling = std::min(holding.ceiling.value_or(ceiling), ceiling);
  EmitQuarantineChange(context, member, ref, ref.ReleaseAboveCeiling());
}

void ApplyFinalSpend(EntryContext& context,
                     Member& member,
                     const v1::FinalSpend& final_spend) {
  Budget* budget = context.BudgetOrIgnore(final_spend.budget());
  if (budget == nullptr) {
    return;
  }
  const bool applied = ApplySpendTotals(
      context, member, *budget,
      {Tokens(final_spend.spent()), Tokens(final_spend.written_off())},
      final_spend.bills());
  if (!applied) {
    return;
  }
  // Tokens of pending transfers stay in this holding until the transfer is
  // recorded, because the receiver may already be spending them.
  HoldingRef ref = context.GetOrCreateHolding(member, *budget);
  const Tokens pending(std::clamp<int64_t>(final_spend.transfers_pending(), 0,
                                           kMaxPaidIn.value()));
  Holding& holding = ref.holding();
  const Tokens reclaimed = ref.Reclaim(pending);
  holding.ceiling = holding.spent + holding.transferred_out + pending;
  const Tokens above = ref.ReleaseAboveCeiling();
  EmitQuarantineChange(context, member, ref, above - reclaimed);
}

}  // namespace

void EmitQuarantineChange(EntryContext& context,
                          const Member& member,
                          const HoldingRef& ref,
                          Tokens released) {
  if (released == Tokens(0)) {
    return;
  }
  context.Emit(QuarantineChanged{member.id, member.incarnation, ref.budget().id,
                                 released, ref.holding().held()});
}

void FoldQuarantineNarrowed(EntryContext& context,
                            const v1::QuarantineNarrowed& r) {
  Member* member = context.MemberOrIgnore(r.router(), r.incarnation());
  if (member == nullptr) {
    return;
  }
  if (!IsWitnessInForce(context.writer(), *member)) {
    context.Ignore(IgnoreReason::kNotWitness);
    return;
  }
  const Ceilings ceilings = ReadCeilings(r);
  for (const BudgetId& id : SortedBudgets(*member)) {
    Budget& budget = *context.state().budgets.Find(id);
    if (budget.release != v1::ON_PROOF) {
      context.Ignore(IgnoreReason::kReleasePolicy);
      continue;
    }
    const auto reported = ceilings.find(id);
    const Tokens ceiling =
        reported == ceilings.end() ? Tokens(0) : reported->second;
    ApplyCeiling(context, *member, budget, ceiling);
  }
}

void FoldSpendFinalized(EntryContext& context, const v1::SpendFinalized& r) {
  Member& member = *context.writer();
  const bool own = RouterId(r.router()) == member.id &&
                   Incarnation(r.incarnation()) == member.incarnation;
  if (!own || member.live()) {
    context.Ignore(IgnoreReason::kNotAllowed);
    return;
  }
  // A budget that is not listed stays quarantined, because its final spend is
  // unknown.
  for (const v1::FinalSpend& final_spend : r.budgets()) {
    ApplyFinalSpend(context, member, final_spend);
  }
  member.finalized = true;
}

void FoldQuarantineReleased(EntryContext& context,
                            const v1::QuarantineReleased& r,
                            size_t index) {
  Budget* budget = context.BudgetOrIgnore(r.budget());
  Member* member = context.MemberOrIgnore(r.router(), r.incarnation());
  if (budget == nullptr || member == nullptr) {
    return;
  }
  if (member->live() || r.tokens() <= 0) {
    context.Ignore(IgnoreReason::kInvalid);
    return;
  }
  if (!RegisterOperatorRecord(context, index)) {
    return;
  }
  HoldingRef ref = context.GetOrCreateHolding(*member, *budget);
  const Tokens tokens = std::min(Tokens(r.tokens()), ref.holding().held());
  ref.Release(tokens);
  EmitQuarantineChange(context, *member, ref, tokens);
}

}  // namespace coppervalve::ledger::detail
