#ifndef COPPERVALVE_LEDGER_DETAIL_STATE_H_
#define COPPERVALVE_LEDGER_DETAIL_STATE_H_

#include <compare>     // operator<=>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // hash
#include <map>         // map
#include <memory>      // make_shared, shared_ptr
#include <optional>    // optional
#include <string>      // string

#include "coppervalve/core/hash.h"
#include "coppervalve/core/result.h"
#include "coppervalve/ledger/detail/budget_table.h"
#include "coppervalve/ledger/detail/dedup_window.h"
#include "coppervalve/ledger/detail/member_table.h"
#include "coppervalve/ledger/detail/quorum.h"
#include "coppervalve/ledger/fold.h"

namespace coppervalve::ledger::detail {

/// @brief Identifies a transfer; ids are unique per sender.
struct TransferKey {
  core::Incarnation from;
  uint64_t transfer_id = 0;

  friend auto operator<=>(const TransferKey&, const TransferKey&) = default;
};

/// @brief Value type of a window that stores only keys.
struct NoValue {};

/// @brief The configuration in force.
struct ConfigInForce {
  core::ConfigVersion version;
  core::LogOffset offset;
  std::string operator_name;
  std::string change_id;
  std::shared_ptr<const v1::Configuration> configuration =
      std::make_shared<v1::Configuration>();
};

}  // namespace coppervalve::ledger::detail

template <>
struct std::hash<coppervalve::ledger::detail::TransferKey> {
  size_t operator()(
      const coppervalve::ledger::detail::TransferKey& key) const noexcept {
    // Odd multiplier of Fibonacci hashing. Ids are sequential and incarnations
    // random, so it is enough to mix the ids.
    constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    return key.from.value() + key.transfer_id * kMultiplier;
  }
};

namespace coppervalve::ledger::detail {

/// @brief The state of the fold.
struct State {
  FoldSettings settings;
  core::LogOffset next_offset;
  ConfigInForce config;
  BudgetTable budgets;
  MemberTable members;
  Quorum quorum;
  DedupWindow<core::Hash128, Claim> claims;
  DedupWindow<core::Hash128, NoValue> billed_keys;
  /// Top-up ids, and generated ids of operators' records that have none.
  DedupWindow<std::string, NoValue> operator_ids;
  DedupWindow<TransferKey, NoValue> transfers;
  std::map<core::UpstreamId, Order> orders;

  /// Digests at recent checkpoints; not part of the encoded state.
  std::map<core::LogOffset, uint64_t> digests;
  /// Set on the first error, after which the state is no longer valid.
  std::optional<core::Error> failure;
};

/// @brief Removes everything older than the dedup window before this offset.
void Prune(State& state, core::LogOffset offset);

/// @brief Recomputes every balance from its holdings.
/// @error kConservationBroken
core::Status CheckConservation(const State& state);

/// @brief Encodes a state in its canonical form. @complexity n log n
v1::FoldState Encode(const State& state);

/// @brief Decodes the result of Encode().
/// @error kSnapshotInvalid, kConservationBroken
core::Status Decode(const v1::FoldState& from, State& state);

/// @brief Sum of the XXH3 hashes of all encoded parts, independent of their
/// order. @complexity linear in the state
uint64_t Digest(const State& state);

/// @brief Stores the digest of the current state for later comparison.
void StoreDigest(State& state);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_STATE_H_
