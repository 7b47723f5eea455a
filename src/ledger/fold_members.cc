#include <algorithm>  // sort
#include <optional>   // optional

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::Incarnation;
using core::RouterId;
using core::Sequence;

namespace {

void RetireMember(EntryContext& context,
                  Member& member,
                  v1::RetireReason reason) {
  State& state = context.state();
  state.members.Retire(member, context.offset(), reason);
  for (const auto& [id, holding] : member.holdings) {
    state.budgets.Find(id)->quarantined += holding.held();
  }
  context.Emit(Retired{member.id, member.incarnation, reason});
}

std::optional<JoinRefusal> CheckJoin(EntryContext& context) {
  const v1::Entry& entry = context.entry();
  const Incarnation incarnation(entry.incarnation());
  if (entry.writer().empty() || incarnation == Incarnation()) {
    return JoinRefusal::kInvalid;
  }
  if (context.state().members.Find(incarnation) != nullptr) {
    return JoinRefusal::kKnownIncarnation;
  }
  // The incarnation may have joined, retired and been removed since the entry
  // was written. A late copy of its join must not make it live again.
  if (context.stale()) {
    return JoinRefusal::kStale;
  }
  return std::nullopt;
}

}  // namespace

std::vector<core::BudgetId> SortedBudgets(const Member& member) {
  std::vector<core::BudgetId> ids;
  ids.reserve(member.holdings.size());
  for (const auto& [id, holding] : member.holdings) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Member* FoldRouterJoined(EntryContext& context, const v1::RouterJoined& r) {
  const RouterId id(context.entry().writer());
  const Incarnation incarnation(context.entry().incarnation());
  if (const auto refusal = CheckJoin(context)) {
    context.Emit(JoinRefused{*refusal, id, incarnation});
    return nullptr;
  }
  MemberTable& members = context.state().members;
  Quorum& quorum = context.state().quorum;
  const core::LogOffset seen(context.entry().seen_offset());
  if (Member* older = members.FindLive(id)) {
    const Incarnation replaced = older->incarnation;
    RetireMember(context, *older, v1::REPLACED);
    quorum.Replace(replaced, incarnation, seen);
  } else {
    quorum.AddPending({context.offset(), VoterJoins{incarnation}});
  }
  Member member;
  member.id = id;
  member.incarnation = incarnation;
  member.joined = r;
  member.joined_offset = context.offset();
  context.Emit(Joined{id, incarnation});
  return &members.Add(std::move(member));
}

void FoldRouterRetired(EntryContext& context, const v1::RouterRetired& r) {
  Member* member = context.MemberOrIgnore(r.router(), r.incarnation());
  if (member == nullptr) {
    return;
  }
  if (!member->live()) {
    context.Ignore(IgnoreReason::kDuplicate);
    return;
  }
  const bool by_itself = context.writer() == member;
  if (r.reason() == v1::DRAINED && !by_itself) {
    context.Ignore(IgnoreReason::kNotAllowed);
    return;
  }
  if (!by_itself && member->last_sequence > Sequence(r.as_of_sequence())) {
    context.Emit(RetirementVoided{member->id, member->incarnation,
                                  member->last_sequence});
    return;
  }
  // An operator has verified that the router is gone, so its vote is removed at
  // once. Otherwise a fleet that lost most of its routers at once could never
  // change its configuration again.
  Quorum& quorum = context.state().quorum;
  if (context.from_operator()) {
    quorum.Remove(member->incarnation);
  } else {
    quorum.AddPending({context.offset(), VoterLeaves{member->incarnation}});
  }
  RetireMember(context, *member, r.reason());
}

void FoldDrainStarted(EntryContext& context) {
  Member& member = *context.writer();
  member.phase = v1::DRAINING;
  context.Emit(DrainBegun{member.id, member.incarnation});
}

void FoldWitnessChosen(EntryContext& context, const v1::WitnessChosen& r) {
  Member& member = *context.writer();
  const RouterId witness(r.router());
  const Incarnation incarnation(r.incarnation());
  const Member* chosen = context.state().members.Find(witness, incarnation);
  const bool usable = chosen != nullptr && chosen != &member && chosen->live();
  if (!witness.empty() && !usable) {
    context.Emit(
        WitnessRefused{member.id, member.incarnation, witness, incarnation});
    return;
  }
  member.witness = witness;
  member.witness_incarnation = witness.empty() ? Incarnation() : incarnation;
  context.Emit(WitnessInForce{member.id, member.incarnation, member.witness,
                              member.witness_incarnation});
}

}  // namespace coppervalve::ledger::detail
