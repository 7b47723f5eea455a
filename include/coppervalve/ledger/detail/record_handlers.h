#ifndef COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_
#define COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_

#include <cstddef>  // size_t

#include "coppervalve/core/units.h"
#include "coppervalve/ledger/detail/entry_context.h"
#include "coppervalve/records.pb.h"

/// One function per kind of record. Each folds its record into the state or
/// says by an effect why it did not; none looks at records of another kind.
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
/// @return how many more orders to load may be taken
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
/// @brief Folds the join that opens an entry of an unknown incarnation.
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

/// @brief Lets the changes take effect that enough voters have read.
void ApplyReadyChanges(EntryContext& context);

// Shared between the above.

/// @brief Largest sum that a balance takes, so that sums cannot overflow.
inline constexpr core::Tokens kMaxPaidIn{1'000'000'000'000'000'000};

/// @brief Adds tokens to a balance.
/// @return false, without change, past kMaxPaidIn
bool PayIn(Budget& budget, core::Tokens tokens);

/// @brief What an incarnation has spent of one budget since it joined.
struct SpendTotals {
  core::Tokens spent;
  core::Tokens written_off;  ///< the part of `spent` that nobody is billed for
};

/// @brief Folds a cumulative spend and its bills into a holding.
/// @return false when it is lower than before or breaks conservation
bool ApplySpendTotals(
    EntryContext& context,
    Member& member,
    Budget& budget,
    const SpendTotals& totals,
    const google::protobuf::RepeatedPtrField<v1::Bill>& bills);

/// @brief Says what a quarantined holding gave back; silent when nothing.
void EmitQuarantineChange(EntryContext& context,
                          const Member& member,
                          const HoldingRef& ref,
                          core::Tokens released);

/// @brief Remembers an operator's record that carries no id of its own by its
/// place in the operator's entries.
/// @return false, with an effect, when it is a duplicate or stale
bool RegisterOperatorRecord(EntryContext& context, size_t index);

/// @brief The ids of a member's holdings in sorted order, so that effects come
/// in the same order everywhere. @complexity n log n
std::vector<core::BudgetId> SortedBudgets(const Member& member);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_RECORD_HANDLERS_H_
