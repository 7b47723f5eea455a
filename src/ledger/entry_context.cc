#include "coppervalve/ledger/detail/entry_context.h"

#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::ledger::detail {

namespace {

constexpr std::string_view kOperatorPrefix = "operator:";

// A writer that claims to have read past its own entry gives no evidence of the
// entry's age, so the entry counts as stale too.
bool IsStale(core::LogOffset seen, core::LogOffset offset, uint64_t window) {
  return seen > offset || offset.value() - seen.value() > window;
}

}  // namespace

EntryContext::EntryContext(State& state,
                           core::LogOffset offset,
                           const v1::Entry& entry)
    : m_state(state),
      m_offset(offset),
      m_entry(entry),
      m_from_operator(entry.writer().starts_with(kOperatorPrefix)),
      m_stale(IsStale(core::LogOffset(entry.seen_offset()),
                      offset,
                      state.settings.dedup_window)) {}

void EntryContext::Ignore(IgnoreReason reason) {
  Emit(EntryIgnored{m_entry.writer(), core::Incarnation(m_entry.incarnation()),
                    sequence(), reason});
}

void EntryContext::Fail(core::Error error) {
  if (!m_failure.has_value()) {
    m_failure = std::move(error);
  }
}

Budget* EntryContext::BudgetOrIgnore(const std::string& id) {
  Budget* budget = m_state.budgets.Find(core::BudgetId(id));
  if (budget == nullptr) {
    Ignore(IgnoreReason::kUnknownBudget);
  }
  return budget;
}

Member* EntryContext::MemberOrIgnore(const std::string& id,
                                     uint64_t incarnation) {
  Member* member =
      m_state.members.Find(core::RouterId(id), core::Incarnation(incarnation));
  if (member == nullptr) {
    Ignore(IgnoreReason::kUnknownRouter);
  }
  return member;
}

HoldingRef EntryContext::GetOrCreateHolding(Member& member, Budget& budget) {
  const HoldingRef ref(budget, member.holdings[budget.id], !member.live());
  m_modified.push_back({member.incarnation, ref});
  return ref;
}

void EntryContext::FinishEntry() {
  for (const ModifiedHolding& modified : m_modified) {
    const Budget& budget = modified.ref.budget();
    if (IsBalanced(budget) && IsBalanced(modified.ref.holding())) {
      continue;
    }
    Fail({core::ErrorId::kConservationBroken, budget.id.value(),
          "after applying the entry of " + m_entry.writer()});
  }
  // A refused record may have created a holding that never had tokens.
  for (const ModifiedHolding& modified : m_modified) {
    m_state.members.RemoveUnusedHolding(modified.incarnation,
                                        modified.ref.budget().id);
  }
  for (const ModifiedHolding& modified : m_modified) {
    m_state.members.PruneIfEmpty(modified.incarnation, m_offset,
                                 m_state.settings.dedup_window);
  }
}

}  // namespace coppervalve::ledger::detail
