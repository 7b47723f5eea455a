#include <algorithm>  // max, min

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::Hash128;
using core::Tokens;

namespace {

// The distribution of a spend: what is not charged yet, and what was billed or
// written off.
struct Charges {
  Tokens remaining;
  Tokens billed;
  Tokens written_off;
};

// A key is billed once. A retry at another router may have run the same work
// again: its tokens are spent, but the account has already paid for the answer.
void ChargeBill(EntryContext& context,
                const Member& member,
                const Budget& budget,
                const v1::Bill& bill,
                Charges& charges) {
  const Hash128 key = Hash128::FromBytes(bill.key_hash());
  if (key == Hash128{} || bill.tokens() < 0) {
    context.Ignore(IgnoreReason::kInvalid);
    return;
  }
  const Tokens tokens = std::min(Tokens(bill.tokens()), charges.remaining);
  charges.remaining -= tokens;
  if (context.state().billed_keys.Insert(context.offset(), key, {})) {
    charges.billed += tokens;
    context.Emit(Billed{member.id, member.incarnation, budget.id, key, tokens});
    return;
  }
  charges.written_off += tokens;
  context.Emit(
      BillWrittenOff{member.id, member.incarnation, budget.id, key, tokens});
}

}  // namespace

bool ApplySpendTotals(
    EntryContext& context,
    Member& member,
    Budget& budget,
    const SpendTotals& totals,
    const google::protobuf::RepeatedPtrField<v1::Bill>& bills) {
  HoldingRef ref = context.GetOrCreateHolding(member, budget);
  const Tokens delta = totals.spent - ref.holding().spent;
  const Tokens abandoned = totals.written_off - ref.holding().written_off;
  if (totals.spent < Tokens(0) || delta < Tokens(0) || abandoned < Tokens(0)) {
    context.Ignore(IgnoreReason::kSpendNotMonotone);
    return false;
  }
  const Tokens reclaimed = ref.Reclaim(delta);
  EmitQuarantineChange(context, member, ref, Tokens(0) - reclaimed);
  if (delta > ref.holding().held()) {
    // Routers commit only tokens that they hold, so this is a protocol error.
    // Applying it would let other routers spend the same tokens again, so the
    // fold stops.
    context.Fail({core::ErrorId::kConservationBroken, budget.id.value(),
                  member.id.value() + " spent more than it held"});
    return false;
  }
  Charges charges{delta, Tokens(0), Tokens(0)};
  charges.written_off = std::min(abandoned, charges.remaining);
  charges.remaining -= charges.written_off;
  ref.holding().written_off += charges.written_off;
  for (const v1::Bill& bill : bills) {
    ChargeBill(context, member, budget, bill, charges);
  }
  ref.Spend(charges.billed + charges.remaining, charges.written_off);
  return true;
}

void FoldSpendReported(EntryContext& context, const v1::SpendReported& r) {
  Budget* budget = context.BudgetOrIgnore(r.budget());
  if (budget == nullptr) {
    return;
  }
  ApplySpendTotals(context, *context.writer(), *budget,
                   {Tokens(r.spent()), Tokens(r.written_off())}, r.bills());
}

void FoldKeyClaimed(EntryContext& context, const v1::KeyClaimed& r) {
  const Member& member = *context.writer();
  const Hash128 key = Hash128::FromBytes(r.key_hash());
  if (key == Hash128{}) {
    context.Ignore(IgnoreReason::kInvalid);
    return;
  }
  const Claim* owner = context.state().claims.Find(key);
  if (owner != nullptr) {
    context.Emit(ClaimLost{member.id, member.incarnation, key, owner->router,
                           owner->incarnation});
    return;
  }
  // An append that was delayed beyond the window may follow a claim of another
  // router that was made, used and removed again. Granting the key now would
  // run non-idempotent work twice.
  if (context.stale()) {
    context.Emit(ClaimLost{member.id, member.incarnation, key, {}, {}});
    return;
  }
  context.state().claims.Insert(
      context.offset(), key,
      Claim{member.id, member.incarnation, context.offset()});
  context.Emit(ClaimWon{member.id, member.incarnation, key});
}

}  // namespace coppervalve::ledger::detail
