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

/// @brief Names one transfer: ids are unique per sender.
struct TransferKey {
  core::Incarnation from;
  uint64_t transfer_id = 0;

  friend auto operator<=>(const TransferKey&, const TransferKey&) = default;
};

/// @brief A key whose presence is all there is to know.
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
    // Odd multiplier of Fibonacci hashing: ids count up from 1, incarnations
    // are random, so mixing the ids alone spreads the sum.
    constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    return key.from.value() + key.transfer_id * kMultiplier;
  }
};

namespace coppervalve::ledger::detail {

/// @brief All that the fold knows.
struct State {
  FoldSettings settings;
  core::LogOffset next_offset;
  ConfigInForce config;
  BudgetTable budgets;
  MemberTable members;
  Quorum quorum;
  DedupWindow<core::Hash128, Claim> claims;
  DedupWindow<core::Hash128, NoValue> billed_keys;
  /// Top-up ids, and ids of operators' records that carry none of their own.
  DedupWindow<std::string, NoValue> operator_ids;
  DedupWindow<TransferKey, NoValue> transfers;
  std::map<core::UpstreamId, Order> orders;

  /// Own digests at recent offsets; not part of the folded state.
  std::map<core::LogOffset, uint64_t> digests;
  /// Set once the state can no longer be trusted.
  std::optional<core::Error> failure;
};

/// @brief Forgets what lies past the dedup window of this offset.
void Prune(State& state, core::LogOffset offset);

/// @brief Recomputes every balance from its holdings.
/// @error kConservationBroken
core::Status CheckConservation(const State& state);

/// @brief The canonical form of a state. @complexity n log n
v1::FoldState Encode(const State& state);

/// @brief The reverse of Encode().
/// @error kSnapshotInvalid, kConservationBroken
core::Status Decode(const v1::FoldState& from, State& state);

/// @brief Sum of the XXH3 of every encoded part, the same in any order of them.
/// @complexity linear in the state
uint64_t Digest(const State& state);

/// @brief Keeps the digest of the present state for later comparison.
void StoreDigest(State& state);

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_STATE_H_
