#ifndef COPPERVALVE_LEDGER_FOLD_H_
#define COPPERVALVE_LEDGER_FOLD_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <memory>    // shared_ptr, unique_ptr
#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/budget.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/ledger/member.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::ledger {

/// @brief Bounds that every reader of one log must share.
struct FoldSettings {
  /// Offsets for which ids are remembered; older operators' entries are stale.
  uint64_t dedup_window = 100'000;
  /// The fold keeps its digest at every multiple of this offset, so that a
  /// snapshot taken there can be compared wherever its record lands. With many
  /// budgets it is doubled as often as they double past 512.
  uint64_t checkpoint_interval = 4'096;
  size_t kept_checkpoints = 16;
  /// Orders to load something that may be carried out at the same time: the
  /// weight store is rate-limited.
  size_t max_loads = 2;
};

/// @brief The winner of a key.
struct Claim {
  core::RouterId router;
  core::Incarnation incarnation;
  core::LogOffset offset;
};

/// @brief The latest order to an upstream.
struct Order {
  core::FencingNumber fencing;
  v1::OrderIssued order;
  v1::OrderOutcome outcome = v1::ORDER_OUTCOME_UNSPECIFIED;
  core::RouterId holder;  ///< that carries it out; empty: nobody took it
  core::Incarnation holder_incarnation;

  bool taken() const { return !holder.empty(); }
  /// @brief Nothing more can come of it.
  bool settled() const {
    return outcome != v1::ORDER_OUTCOME_UNSPECIFIED &&
           outcome != v1::OUTCOME_UNKNOWN;
  }
  /// @brief Still to be carried out.
  bool open() const { return outcome == v1::ORDER_OUTCOME_UNSPECIFIED; }
  /// @brief Whether carrying it out draws on the weight store.
  bool loads() const {
    return order.has_load_model() || order.has_load_adapter();
  }
};

namespace detail {
struct State;
}  // namespace detail

/// @brief The state of the fleet as a deterministic fold of the log. Whoever
/// folds the same prefix holds the same state. No I/O, clock or randomness; not
/// thread-safe.
class Fold {
 public:
  explicit Fold(FoldSettings settings = {});
  ~Fold();
  Fold(Fold&& other) noexcept;
  Fold& operator=(Fold&& other) noexcept;

  /// @brief Folds the entry at an offset. Entries that cannot be honoured
  /// change nothing but the next offset and say so by an effect.
  /// @param offset where the log keeps it; lower than next_offset(): no change
  /// @param entry an unreadable one is folded as a default Entry by every
  /// reader
  /// @return what changed, in record order
  /// @error kLogGap (state unchanged), kDigestMismatch, kConservationBroken;
  /// after the latter two every later call returns the same error
  /// @complexity linear in the entry; independent of budgets and members, but
  /// for retirements (the member's holdings), accepted configurations (their
  /// budgets) and checkpoints (the whole state)
  core::Result<std::vector<Effect>> Apply(core::LogOffset offset,
                                          const v1::Entry& entry);

  core::LogOffset next_offset() const;
  core::ConfigVersion config_version() const;
  /// @return the version in force, plus one while a proposal waits
  core::ConfigVersion known_version() const;
  /// @return whether the incarnation's reading counts for what is in force
  bool IsVoter(core::Incarnation incarnation) const;
  size_t voters() const;
  /// @return never null; empty before the first version
  std::shared_ptr<const v1::Configuration> configuration() const;
  /// @brief Where the configuration in force was published.
  core::LogOffset config_offset() const;
  const std::string& config_operator() const;
  const std::string& config_change_id() const;

  /// @return null when no configuration ever named it
  const Budget* FindBudget(const core::BudgetId& budget) const;
  /// @brief Every budget, by id. @complexity n log n
  std::vector<const Budget*> Budgets() const;

  /// @return a live or remembered retired incarnation, else null
  const Member* FindMember(const core::RouterId& router,
                           core::Incarnation incarnation) const;
  /// @return the live incarnation of a router, else null
  const Member* FindLive(const core::RouterId& router) const;
  /// @brief Active and draining members, by router id. @complexity linear
  std::vector<const Member*> LiveMembers() const;
  /// @brief Remembered retired members, by incarnation. @complexity linear
  std::vector<const Member*> RetiredMembers() const;
  /// @return null when the incarnation holds nothing of it
  const Holding* FindHolding(core::Incarnation incarnation,
                             const core::BudgetId& budget) const;

  /// @return the winner of a key within the dedup window, else null
  const Claim* FindClaim(const core::Hash128& key_hash) const;
  /// @return whether the key was billed within the dedup window
  bool IsBilled(const core::Hash128& key_hash) const;
  /// @return the latest order to an upstream, else null
  const Order* FindOrder(const core::UpstreamId& upstream) const;
  /// @brief The latest orders, by upstream. @complexity linear
  std::vector<const Order*> Orders() const;
  /// @return how many more orders to load may be taken now
  /// @complexity linear in the orders
  size_t AvailableLoads() const;

  /// @brief Recomputes every balance from its holdings.
  /// @error kConservationBroken names the first budget that is off
  /// @complexity linear in budgets and holdings
  core::Status CheckConservation() const;

  /// @brief The state in the form of snapshots, in sorted order.
  /// @complexity n log n in the state
  v1::FoldState ToState() const;
  /// @brief Takes a state up again; folding the same tail then gives the same
  /// digest as the fold that wrote it.
  /// @error kSnapshotInvalid, kConservationBroken
  static core::Result<Fold> FromState(const v1::FoldState& state,
                                      FoldSettings settings = {});
  /// @brief Sum of the XXH3 of the state's encoded parts; equal for equal
  /// states, however they came about. @complexity linear in the state
  uint64_t Digest() const;
  /// @brief The newest kept checkpoint at or below the next offset: a snapshot
  /// taken when next_offset() equals one is compared by every reader.
  std::optional<core::LogOffset> last_checkpoint() const;

 private:
  explicit Fold(std::unique_ptr<detail::State> state);

  std::unique_ptr<detail::State> m_state;
};

}  // namespace coppervalve::ledger

#endif  // COPPERVALVE_LEDGER_FOLD_H_
