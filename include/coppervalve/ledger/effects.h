#ifndef COPPERVALVE_LEDGER_EFFECTS_H_
#define COPPERVALVE_LEDGER_EFFECTS_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint8_t, uint64_t
#include <string>   // string
#include <variant>  // variant

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/records.pb.h"

/// The results of applying one log entry. An effect that concerns a router
/// carries the router's id and incarnation, so that each router can select its
/// own.
namespace coppervalve::ledger {

/// @brief Why a record was ignored.
enum class IgnoreReason : uint8_t {
  kUnknownWriter,  ///< neither an operator nor a joined router
  kDuplicate,      ///< already applied
  kSequenceGap,    ///< an earlier sequence number is missing
  kRetired,        ///< the writer's incarnation is retired
  kStale,          ///< written before the dedup window
  kNotAllowed,     ///< the writer may not write this kind of record
  kUnknownBudget,
  kUnknownRouter,
  kUnknownUpstream,
  kExceedsHolding,    ///< more tokens than are held
  kSpendNotMonotone,  ///< cumulative spend lower than the previous report
  kNotWitness,        ///< not the current witness of a retired router
  kReleasePolicy,     ///< the budget's release policy forbids it
  kOrderInProgress,   ///< the order's holder has not reported the outcome
  kInvalid,           ///< a field has an invalid value
  kEmpty,             ///< no record, or a record of an unknown kind
};

/// @brief Why a published configuration was rejected.
enum class ConfigRejection : uint8_t {
  kConflict,        ///< another publication was first
  kPrepaidShrinks,  ///< a prepaid amount is lower than before
  kStale,           ///< written before the dedup window
  kInvalid,         ///< a duplicate or empty id, or an amount out of range
};

/// @brief A configuration was proposed; it comes into force once more than half
/// of the voters have read it.
struct ConfigProposed {
  core::ConfigVersion version;
  std::string change_id;
  std::string operator_name;
};

struct ConfigAccepted {
  core::ConfigVersion version;
  std::string change_id;
  std::string operator_name;
};

struct ConfigRejected {
  ConfigRejection reason = ConfigRejection::kConflict;
  std::string change_id;
  core::ConfigVersion based_on;
  core::ConfigVersion version_in_force;
  std::string winner_operator;   ///< publisher of that version
  std::string winner_change_id;  ///< equal to `change_id` for a repeated append
};

struct ConfigConfirmed {
  core::RouterId router;
  core::Incarnation incarnation;
  core::ConfigVersion version;
};

/// @brief Tokens were added to a balance by a top-up, or by a larger prepaid
/// amount in the configuration (then the id is empty).
struct PaidIn {
  core::BudgetId budget;
  core::Tokens tokens;
  std::string top_up_id;
};

enum class TopUpRefusal : uint8_t {
  kStale,
  kDuplicate,
  kUnknownBudget,
  kInvalid,  ///< not positive, or exceeds the largest balance
};

struct TopUpRefused {
  TopUpRefusal reason = TopUpRefusal::kStale;
  core::BudgetId budget;
  std::string top_up_id;
};

struct Granted {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens tokens;
  core::Sequence sequence;  ///< of the entry with the request
};

struct Denied {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens asked;
  core::Tokens available;  ///< to the requested class
  core::Sequence sequence;
};

struct Returned {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens tokens;
};

struct Joined {
  core::RouterId router;
  core::Incarnation incarnation;
};

enum class JoinRefusal : uint8_t {
  kStale,
  kKnownIncarnation,  ///< already joined, or used by another router
  kInvalid,           ///< empty id or incarnation 0
};

struct JoinRefused {
  JoinRefusal reason = JoinRefusal::kStale;
  core::RouterId router;
  core::Incarnation incarnation;
};

struct Retired {
  core::RouterId router;
  core::Incarnation incarnation;
  v1::RetireReason reason = v1::RETIRE_REASON_UNSPECIFIED;
};

/// @brief A retirement was ignored because the router has written an entry
/// since.
struct RetirementVoided {
  core::RouterId router;
  core::Incarnation incarnation;
  core::Sequence last_sequence;
};

/// @brief The set of voters changed.
struct VotersChanged {
  size_t voters = 0;
};

struct DrainBegun {
  core::RouterId router;
  core::Incarnation incarnation;
};

/// @brief The router's commitments are now bounded by this witness; an empty
/// witness means that they are not bounded.
struct WitnessInForce {
  core::RouterId router;
  core::Incarnation incarnation;
  core::RouterId witness;
  core::Incarnation witness_incarnation;
};

struct WitnessRefused {
  core::RouterId router;
  core::Incarnation incarnation;
  core::RouterId witness;
  core::Incarnation witness_incarnation;
};

/// @brief Quarantined tokens of a retired incarnation were released to the
/// balance, or reclaimed from it.
struct QuarantineChanged {
  core::RouterId router;  ///< the retired router
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens released;   ///< negative: reclaimed for a late commitment
  core::Tokens remaining;  ///< still quarantined in this holding
};

struct ClaimWon {
  core::RouterId router;
  core::Incarnation incarnation;
  core::Hash128 key_hash;
};

/// @brief The key is already claimed. The owner is the claimant itself when it
/// repeats a claim that it has won; an empty owner means that the claim was
/// stale.
struct ClaimLost {
  core::RouterId router;
  core::Incarnation incarnation;
  core::Hash128 key_hash;
  core::RouterId owner;
  core::Incarnation owner_incarnation;
};

struct Billed {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Hash128 key_hash;
  core::Tokens tokens;
};

/// @brief The key was billed before: the tokens count as spent, but the account
/// is not billed again.
struct BillWrittenOff {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Hash128 key_hash;
  core::Tokens tokens;
};

struct TransferApplied {
  core::RouterId from;
  core::Incarnation from_incarnation;
  core::RouterId to;
  core::Incarnation to_incarnation;
  uint64_t transfer_id = 0;
  core::BudgetId budget;
  core::Tokens tokens;
};

struct OrderInForce {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  v1::OrderIssued order;
};

/// @brief An order was refused because the previous one may still reach an
/// upstream that does not check fencing numbers.
struct OrderRefused {
  core::UpstreamId upstream;
  core::FencingNumber unsettled;  ///< the order that must be settled first
};

/// @brief Only this incarnation may send the order from now on.
struct OrderTaken {
  core::RouterId router;
  core::Incarnation incarnation;
  core::UpstreamId upstream;
  core::FencingNumber fencing;
};

enum class OrderTakeRefusal : uint8_t {
  kNotInForce,        ///< superseded, or ended
  kHeld,              ///< by another incarnation
  kLoadLimitReached,  ///< the maximum number of loads is in progress
};

struct OrderTakeRefused {
  OrderTakeRefusal reason = OrderTakeRefusal::kNotInForce;
  core::RouterId router;
  core::Incarnation incarnation;
  core::UpstreamId upstream;
  core::FencingNumber fencing;
};

struct OrderEnded {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  v1::OrderOutcome outcome = v1::ORDER_OUTCOME_UNSPECIFIED;
};

/// @brief A snapshot could not be compared, because the digest at its offset is
/// not stored.
struct SnapshotNotCompared {
  core::LogOffset taken_at;
};

/// @brief The digest of a snapshot equals the stored digest at its offset.
struct SnapshotMatched {
  core::LogOffset taken_at;
};

struct EntryIgnored {
  std::string writer;
  core::Incarnation incarnation;
  core::Sequence sequence;
  IgnoreReason reason = IgnoreReason::kEmpty;
};

using Effect = std::variant<ConfigProposed,
                            ConfigAccepted,
                            ConfigRejected,
                            ConfigConfirmed,
                            PaidIn,
                            TopUpRefused,
                            Granted,
                            Denied,
                            Returned,
                            Joined,
                            JoinRefused,
                            Retired,
                            RetirementVoided,
                            VotersChanged,
                            DrainBegun,
                            WitnessInForce,
                            WitnessRefused,
                            QuarantineChanged,
                            ClaimWon,
                            ClaimLost,
                            Billed,
                            BillWrittenOff,
                            TransferApplied,
                            OrderInForce,
                            OrderRefused,
                            OrderTaken,
                            OrderTakeRefused,
                            OrderEnded,
                            SnapshotNotCompared,
                            SnapshotMatched,
                            EntryIgnored>;

}  // namespace coppervalve::ledger

#endif  // COPPERVALVE_LEDGER_EFFECTS_H_
