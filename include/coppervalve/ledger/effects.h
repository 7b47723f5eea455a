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

/// What folding one entry changed, or why it changed nothing. An effect that
/// concerns a router names its id and incarnation, so that each router can pick
/// its own.
namespace coppervalve::ledger {

/// @brief Why a record changed nothing.
enum class IgnoreReason : uint8_t {
  kUnknownWriter,  ///< neither an operator nor a joined router
  kDuplicate,      ///< folded before
  kSequenceGap,    ///< a sequence before it is missing
  kRetired,        ///< the writer's incarnation is retired
  kStale,          ///< written more than the dedup window ago
  kNotAllowed,     ///< this writer may not write such a record
  kUnknownBudget,
  kUnknownRouter,
  kUnknownUpstream,
  kExceedsHolding,    ///< more tokens than the holding has
  kSpendNotMonotone,  ///< a cumulative spend lower than the one before
  kNotWitness,        ///< not the witness in force of a retired router
  kReleasePolicy,     ///< the budget's policy forbids this release
  kOrderInProgress,   ///< its holder has still to state the outcome
  kInvalid,           ///< a field has no possible meaning
  kEmpty,             ///< no record, or a record of an unknown kind
};

/// @brief Why a published configuration did not come into force.
enum class ConfigRejection : uint8_t {
  kConflict,        ///< another one came first
  kPrepaidShrinks,  ///< a budget declares less than before
  kStale,           ///< written more than the dedup window ago
  kInvalid,         ///< a duplicate or empty id, or an amount out of range
};

/// @brief A configuration waits until more than half of the voters have read
/// it.
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
  std::string winner_operator;   ///< who published the version in force
  std::string winner_change_id;  ///< equal to `change_id`: a repeated append
};

struct ConfigConfirmed {
  core::RouterId router;
  core::Incarnation incarnation;
  core::ConfigVersion version;
};

/// @brief A balance grew: a top-up, or a grown prepaid amount (empty id).
struct PaidIn {
  core::BudgetId budget;
  core::Tokens tokens;
  std::string top_up_id;
};

enum class TopUpRefusal : uint8_t {
  kStale,
  kDuplicate,
  kUnknownBudget,
  kInvalid,  ///< not positive, or past the largest balance
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
  core::Sequence sequence;  ///< of the entry that asked
};

struct Denied {
  core::RouterId router;
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens asked;
  core::Tokens available;  ///< to the class that asked
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
  kKnownIncarnation,  ///< joined before, or used by another router
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

/// @brief A retirement without effect: the router has written since.
struct RetirementVoided {
  core::RouterId router;
  core::Incarnation incarnation;
  core::Sequence last_sequence;
};

/// @brief The set of routers whose reading counts is another one now.
struct VotersChanged {
  size_t voters = 0;
};

struct DrainBegun {
  core::RouterId router;
  core::Incarnation incarnation;
};

/// @brief From here on this witness bounds the router's commitments; an empty
/// witness bounds nothing.
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

/// @brief Tokens of a retired incarnation went back to the balance.
struct QuarantineChanged {
  core::RouterId router;  ///< the retired one
  core::Incarnation incarnation;
  core::BudgetId budget;
  core::Tokens released;   ///< negative: taken back for a late commitment
  core::Tokens remaining;  ///< still quarantined in this holding
};

struct ClaimWon {
  core::RouterId router;
  core::Incarnation incarnation;
  core::Hash128 key_hash;
};

/// @brief The key is taken. The owner is the claimant itself when it claims
/// again what it has won; no owner: the claim was stale.
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

/// @brief The key was billed before: the tokens are spent, nobody pays twice.
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

/// @brief An order without effect: the one before it may yet reach an upstream
/// that ignores fencing numbers.
struct OrderRefused {
  core::UpstreamId upstream;
  core::FencingNumber unsettled;  ///< the order that must be settled first
};

/// @brief From here on this incarnation, and no other, sends the order.
struct OrderTaken {
  core::RouterId router;
  core::Incarnation incarnation;
  core::UpstreamId upstream;
  core::FencingNumber fencing;
};

enum class OrderTakeRefusal : uint8_t {
  kNotInForce,        ///< overtaken, or ended
  kHeld,              ///< by another incarnation
  kLoadLimitReached,  ///< as many loads as allowed are under way
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

/// @brief A snapshot that this fold cannot compare: taken at an offset whose
/// digest it has not kept.
struct SnapshotNotCompared {
  core::LogOffset taken_at;
};

/// @brief A snapshot whose digest equals this fold's own at that offset.
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
