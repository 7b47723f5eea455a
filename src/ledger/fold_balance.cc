#include <algorithm>  // max, min

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::BudgetId;
using core::Tokens;

namespace {

// Prefix of generated ids of operators' records. Top-up ids must not start with
// it, so that the two kinds cannot collide.
constexpr char kOperatorRecordMark = '\x1f';

std::optional<TopUpRefusal> CheckTopUp(EntryContext& context,
                                       const v1::ToppedUp& r) {
  State& state = context.state();
  // Beyond the window the id may have been removed, and a repeated record would
  // be paid in twice. The operator has to check and to send a new request.
  if (context.stale()) {
    return TopUpRefusal::kStale;
  }
  if (r.top_up_id().empty() || r.top_up_id().front() == kOperatorRecordMark) {
    return TopUpRefusal::kInvalid;
  }
  if (state.operator_ids.Find(r.top_up_id()) != nullptr) {
    return TopUpRefusal::kDuplicate;
  }
  Budget* budget = state.budgets.Find(BudgetId(r.budget()));
  if (budget == nullptr) {
    return TopUpRefusal::kUnknownBudget;
  }
  const Tokens tokens(r.tokens());
  if (tokens <= Tokens(0) || !PayIn(*budget, tokens)) {
    return TopUpRefusal::kInvalid;
  }
  state.operator_ids.Insert(context.offset(), r.top_up_id(), {});
  return std::nullopt;
}

std::optional<IgnoreReason> CheckTransfer(EntryContext& context,
                                          const v1::TransferRecorded& r,
                                          const Member& from,
                                          const Member& to) {
  const Member* writer = context.writer();
  if (writer != &from && writer != &to) {
    return IgnoreReason::kNotAllowed;
  }
  if (&from == &to || r.tokens() <= 0) {
    return IgnoreReason::kInvalid;
  }
  // The id of the other side's record may have been removed. Applying the
  // transfer twice would remove tokens that the sender still spends.
  if (context.stale()) {
    return IgnoreReason::kStale;
  }
  const TransferKey key{from.incarnation, r.transfer_id()};
  if (context.state().transfers.Find(key) != nullptr) {
    return IgnoreReason::kDuplicate;
  }
  return std::nullopt;
}

}  // namespace

bool PayIn(Budget& budget, Tokens tokens) {
  if (tokens > kMaxPaidIn - budget.paid_in) {
    return false;
  }
  budget.paid_in += tokens;
  budget.free += tokens;
  return true;
}

bool RegisterOperatorRecord(EntryContext& context, size_t index) {
  if (context.stale()) {
    context.Ignore(IgnoreReason::kStale);
    return false;
  }
  const v1::Entry& entry = context.entry();
  const std::string id = kOperatorRecordMark + entry.writer() + "/" +
                         std::to_string(entry.incarnation()) + "/" +
                         std::to_string(entry.sequence()) + "/" +
                         std::to_string(index);
  if (!context.state().operator_ids.Insert(context.offset(), id, {})) {
    context.Ignore(IgnoreReason::kDuplicate);
    return false;
  }
  return true;
}

void FoldToppedUp(EntryContext& context, const v1::ToppedUp& r) {
  const BudgetId budget(r.budget());
  if (const auto refusal = CheckTopUp(context, r)) {
    context.Emit(TopUpRefused{*refusal, budget, r.top_up_id()});
    return;
  }
  context.Emit(PaidIn{budget, Tokens(r.tokens()), r.top_up_id()});
}

void FoldAllotmentRequested(EntryContext& context,
                            const v1::AllotmentRequested& r) {
  Member& member = *context.writer();
  const BudgetId id(r.budget());
  const Tokens asked(r.tokens());
  const Tokens minimum(std::max<int64_t>(r.minimum(), 1));
  Budget* budget = context.state().budgets.Find(id);
  const Tokens available =
      budget ? budget->Available(r.admission_class()) : Tokens(0);
  const Tokens tokens = std::min(asked, available);
  if (tokens < minimum) {
    context.Emit(Denied{member.id, member.incarnation, id, asked, available,
                        context.sequence()});
    return;
  }
  context.GetOrCreateHolding(member, *budget).Grant(tokens);
  context.Emit(
      Granted{member.id, member.incarnation, id, tokens, context.sequence()});
}

void FoldAllotmentReturned(EntryContext& context,
                           const v1::AllotmentReturned& r) {
  Budget* budget = context.BudgetOrIgnore(r.budget());
  if (budget == nullptr) {
    return;
  }
  Member& member = *context.writer();
  HoldingRef ref = context.GetOrCreateHolding(member, *budget);
  const Tokens tokens(r.tokens());
  if (tokens <= Tokens(0) || tokens > ref.holding().held()) {
    context.Ignore(IgnoreReason::kExceedsHolding);
    return;
  }
  ref.Return(tokens);
  context.Emit(Returned{member.id, member.incarnation, budget->id, tokens});
}

void FoldTransferRecorded(EntryContext& context,
                          const v1::TransferRecorded& r) {
  Budget* budget = context.BudgetOrIgnore(r.budget());
  Member* from = context.MemberOrIgnore(r.from_router(), r.from_incarnation());
  Member* to = context.MemberOrIgnore(r.to_router(), r.to_incarnation());
  if (budget == nullptr || from == nullptr || to == nullptr) {
    return;
  }
  if (const auto reason = CheckTransfer(context, r, *from, *to)) {
    context.Ignore(*reason);
    return;
  }
  const Tokens tokens(r.tokens());
  HoldingRef sender = context.GetOrCreateHolding(*from, *budget);
  const Tokens reclaimed = sender.Reclaim(tokens);
  EmitQuarantineChange(context, *from, sender, Tokens(0) - reclaimed);
  if (tokens > sender.holding().held()) {
    context.Ignore(IgnoreReason::kExceedsHolding);
    return;
  }
  context.state().transfers.Insert(context.offset(),
                                   {from->incarnation, r.transfer_id()}, {});
  sender.TransferOut(tokens);
  HoldingRef receiver = context.GetOrCreateHolding(*to, *budget);
  receiver.TransferIn(tokens);
  context.Emit(TransferApplied{from->id, from->incarnation, to->id,
                               to->incarnation, r.transfer_id(), budget->id,
                               tokens});
  // A retired receiver with a ceiling cannot commit more than the ceiling, so
  // tokens above it would stay quarantined without need.
  EmitQuarantineChange(context, *to, receiver, receiver.ReleaseAboveCeiling());
}

}  // namespace coppervalve::ledger::detail
