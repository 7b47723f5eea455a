#include "coppervalve/ledger/detail/state.h"

#include <unordered_map>  // unordered_map

#include "coppervalve/ledger/detail/holding_ref.h"

namespace coppervalve::ledger::detail {

namespace {

struct HeldTotals {
  core::Tokens held;
  core::Tokens quarantined;
};

core::Status ConservationError(const core::BudgetId& budget,
                               const std::string& detail) {
  return core::Error{core::ErrorId::kConservationBroken, budget.value(),
                     detail};
}

core::Status AddHoldings(
    const Member& member,
    std::unordered_map<core::BudgetId, HeldTotals>& totals) {
  for (const auto& [id, holding] : member.holdings) {
    if (!IsBalanced(holding)) {
      return ConservationError(
          id, "a holding of " + member.id.value() + " is negative");
    }
    HeldTotals& total = totals[id];
    total.held += holding.held();
    if (!member.live()) {
      total.quarantined += holding.held();
    }
  }
  return core::Ok();
}

}  // namespace

void Prune(State& state, core::LogOffset offset) {
  const uint64_t window = state.settings.dedup_window;
  state.claims.Prune(offset, window);
  state.billed_keys.Prune(offset, window);
  state.operator_ids.Prune(offset, window);
  state.transfers.Prune(offset, window);
  state.members.Prune(offset, window);
}

core::Status CheckConservation(const State& state) {
  std::unordered_map<core::BudgetId, HeldTotals> totals;
  for (const Member* member : state.members.Sorted()) {
    core::Status status = AddHoldings(*member, totals);
    if (!core::IsOk(status)) {
      return status;
    }
  }
  for (const Budget* budget : state.budgets.Sorted()) {
    const HeldTotals& total = totals[budget->id];
    if (!IsBalanced(*budget)) {
      return ConservationError(budget->id,
                               "the balance differs from the sum of its parts");
    }
    if (total.held != budget->held ||
        total.quarantined != budget->quarantined) {
      return ConservationError(
          budget->id, "the total held differs from the sum of the holdings");
    }
    totals.erase(budget->id);
  }
  if (!totals.empty()) {
    return ConservationError(totals.begin()->first,
                             "has holdings, but is unknown");
  }
  return core::Ok();
}

void StoreDigest(State& state) {
  state.digests.insert_or_assign(state.next_offset, Digest(state));
  while (state.digests.size() > state.settings.kept_checkpoints) {
    state.digests.erase(state.digests.begin());
  }
}

}  // namespace coppervalve::ledger::detail
