#ifndef COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_
#define COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_

#include <cstddef>  // size_t

#include "coppervalve/core/units.h"
#include "coppervalve/ledger/detail/entry_context.h"
#include "coppervalve/records.pb.h"

/// One function for each kind of record. Each applies its record to the state,
/// or emits an effect that gives the reason why it did not. The handlers do not
/// depend on other records of the entry.
namespace coppervalve::ledger::detail {

// fold_config.cc
void FoldConfigPublished(EntryContext& context, const v1::ConfigPublished& r);
void FoldConfigConfirmed(EntryContext& context, const v1::ConfigConfirmed& r);

// fold_orders.cc
void FoldOrderIssued(EntryContext& context,
                     const v1::OrderIssued& r,
                     size_t index);
void FoldOrderTaken(EntryContext& context, const v1::OrderTaken& r);
void FoldOrderEnded(EntryContext& context,
                    const v1::OrderEnded& r,
                    size_t index);
/// @return how many more load orders may be taken
size_t AvailableLoads(const State& state);

// fold_balance.cc
void FoldToppedUp(EntryContext& context, const v1::ToppedUp& r);
void FoldAllotmentRequested(EntryContext& context,
                            const v1::AllotmentRequested& r);
void FoldAllotmentReturned(EntryContext& context,
                           const v1::AllotmentReturned& r);
void FoldTransferRecorded(EntryContext& context, const v1::TransferRecorded& r);

// fold_spend.cc
void FoldSpendReported(EntryContext& context, const v1::SpendReported& r);
void FoldKeyClaimed(EntryContext& context, const v1::KeyClaimed& r);

// fold_members.cc
/// @brief Applies the join at the start of an entry of an unknown incarnation.
/// @return the new member; null when refused
Member* FoldRouterJoined(EntryContext& context, const v1::RouterJoined& r);
void FoldRouterRetired(EntryContext& context, const v1::RouterRetired& r);
void FoldDrainStarted(EntryContext& context);
void FoldWitnessChosen(EntryContext& context, const v1::WitnessChosen& r);

// fold_quarantine.cc
void FoldQuarantineNarrowed(EntryContext& context,
                            const v1::QuarantineNarrowed& r);
void FoldSpendFinalized(EntryContext& context, const v1::SpendFinalized& r);
void FoldQuarantineReleased(EntryContext& context,
                            const v1::QuarantineReleased& r,
                            size_t index);

// fold_snapshot.cc
void FoldSnapshot(EntryContext& context, const v1::Snapshot& r);

/// @brief Applies the pending changes that a majority of the voters has read.
void ApplyReadyChanges(EntryContext& context);

// Helpers of several handlers.

/// @brief Largest total paid into a balance, so that sums cannot overflow.
inline constexpr core::Tokens kMaxPaidIn{1'000'000'000'000'000'000};

/// @brief Adds tokens to a balance.
/// @return false, without change, when the total would exceed kMaxPaidIn
bool PayIn(Budget& budget, core::Tokens tokens);

/// @brief What an incarnation has spent of one budget since it joined.
struct SpendTotals {
  core::Tokens spent;
  core::Tokens written_off;  ///< part of `spent` that is not billed
};

/// @brief Applies cumulative spend totals and bills to a holding.
/// @return false when a total is lower than before or exceeds the holding
bool ApplySpendTotals(
    EntryContext& context,
    Member& member,
    Budget& budget,
    const SpendTotals& totals,
    const google::protobuf::RepeatedPtrField<v1::Bill>& bills);

/// @brief Emits the tokens that a quarantined holding released; nothing for 0.
void EmitQuarantineChange(EntryContext& context,
                          const Member& member,
                          const HoldingRef& ref,
                          core::Tokens released);

/// @brief Registers an operator's record that has no id of its own, identified
/// by its position in the operator's entries.
/// @return false, with an effect, when it is a duplicate or stale
bool RegisterOperatorRecord(EntryContext& context, size_t index);

/// @brief The budgets of a member's holdings in sorted order, so that every
/// reader emits the effects in the same order. @complexity n log n
std::vector<core::BudgetId> SortedBudgets(const Member& member);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_
