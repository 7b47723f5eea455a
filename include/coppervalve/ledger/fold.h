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

/// @brief Settings of the fold; all readers of one log must use the same
/// values.
struct FoldSettings {
  /// Number of offsets for which ids are kept; records of operators from
  /// before that are stale.
  uint64_t dedup_window = 100'000;
  /// Digests are stored at every multiple of this offset, so that a snapshot
  /// taken there can be compared even if its record is appended later. With
  /// many budgets the interval is doubled each time their number doubles past
  /// 512.
  uint64_t checkpoint_interval = 4'096;
  size_t kept_checkpoints = 16;
  /// Maximum number of load orders in progress at the same time, because the
  /// weight store is rate-limited.
  size_t max_loads = 2;
};

/// @brief The router that owns a key.
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
  core::RouterId holder;  ///< the router that carries it out; empty: not taken
  core::Incarnation holder_incarnation;

  bool taken() const { return !holder.empty(); }
  /// @brief Whether the order can no longer take effect.
  bool settled() const {
    return outcome != v1::ORDER_OUTCOME_UNSPECIFIED &&
           outcome != v1::OUTCOME_UNKNOWN;
  }
  /// @brief Whether the order has no outcome yet.
  bool open() const { return outcome == v1::ORDER_OUTCOME_UNSPECIFIED; }
  /// @brief Whether the order loads from the weight store.
  bool loads() const {
    return order.has_load_model() || order.has_load_adapter();
  }
};

namespace detail {
struct State;
}  // namespace detail

/// @brief The state of the fleet, computed as a deterministic fold of the log:
/// every reader that has applied the same prefix has the same state. Does no
/// I/O and uses neither clock nor randomness. Not thread-safe.
class Fold {
 public:
  explicit Fold(FoldSettings settings = {});
  ~Fold();
  Fold(Fold&& other) noexcept;
  Fold& operator=(Fold&& other) noexcept;

  /// @brief Applies the entry at an offset. An entry that is refused or ignored
  /// changes nothing but the next offset; its effects give the reason.
  /// @param offset position in the log; below next_offset(): no change
  /// @param entry every reader applies a default Entry for an unreadable one
  /// @return the effects in record order
  /// @error kLogGap (state unchanged), kDigestMismatch, kConservationBroken;
  /// after the latter two every later call returns the same error
  /// @complexity linear in the entry and independent of the number of budgets
  /// and members, except for retirements (the member's holdings), accepted
  /// configurations (their budgets) and checkpoints (the whole state)
  core::Result<std::vector<Effect>> Apply(core::LogOffset offset,
                                          const v1::Entry& entry);

  core::LogOffset next_offset() const;
  core::ConfigVersion config_version() const;
  /// @return the version in force, plus one while a proposal is pending
  core::ConfigVersion known_version() const;
  /// @return whether the incarnation is a voter: its reading counts towards the
  /// majority that brings a change into force
  bool IsVoter(core::Incarnation incarnation) const;
  size_t voters() const;
  /// @return never null; empty before the first version
  std::shared_ptr<const v1::Configuration> configuration() const;
  /// @brief Offset at which the configuration in force was published.
  core::LogOffset config_offset() const;
  const std::string& config_operator() const;
  const std::string& config_change_id() const;

  /// @return null when no configuration has named the budget
  const Budget* FindBudget(const core::BudgetId& budget) const;
  /// @brief All budgets, sorted by id. @complexity n log n
  std::vector<const Budget*> Budgets() const;

  /// @return the incarnation, live or retired and still stored, else null
  const Member* FindMember(const core::RouterId& router,
                           core::Incarnation incarnation) const;
  /// @return the live incarnation of a router, else null
  const Member* FindLive(const core::RouterId& router) const;
  /// @brief Active and draining members, sorted by router id. @complexity
  /// linear
  std::vector<const Member*> LiveMembers() const;
  /// @brief Retired members that are still stored, sorted by incarnation.
  /// @complexity linear
  std::vector<const Member*> RetiredMembers() const;
  /// @return null when the incarnation has no holding of the budget
  const Holding* FindHolding(core::Incarnation incarnation,
                             const core::BudgetId& budget) const;

  /// @return the owner of a key claimed within the dedup window, else null
  const Claim* FindClaim(const core::Hash128& key_hash) const;
  /// @return whether the key was billed within the dedup window
  bool IsBilled(const core::Hash128& key_hash) const;
  /// @return the latest order to an upstream, else null
  const Order* FindOrder(const core::UpstreamId& upstream) const;
  /// @brief The latest order of each upstream, sorted by upstream. @complexity
  /// linear
  std::vector<const Order*> Orders() const;
  /// @return how many more load orders may be taken now
  /// @complexity linear in the orders
  size_t AvailableLoads() const;

  /// @brief Recomputes every balance from its holdings.
  /// @error kConservationBroken names the first budget that does not balance
  /// @complexity linear in budgets and holdings
  core::Status CheckConservation() const;

  /// @brief Encodes the state for a snapshot, in sorted order.
  /// @complexity n log n in the state
  v1::FoldState ToState() const;
  /// @brief Restores a fold from a state. After the same later entries it has
  /// the same digest as the fold that encoded the state.
  /// @error kSnapshotInvalid, kConservationBroken
  static core::Result<Fold> FromState(const v1::FoldState& state,
                                      FoldSettings settings = {});
  /// @brief Sum of the XXH3 hashes of the encoded parts of the state; equal for
  /// equal states, whatever entries led to them. @complexity linear in the
  /// state
  uint64_t Digest() const;
  /// @brief The newest stored checkpoint, at or below the next offset. Every
  /// reader can compare a snapshot taken when next_offset() equals a
  /// checkpoint.
  std::optional<core::LogOffset> last_checkpoint() const;

 private:
  explicit Fold(std::unique_ptr<detail::State> state);

  std::unique_ptr<detail::State> m_state;
};

}  // namespace coppervalve::ledger

#endif  // COPPERVALVE_LEDGER_FOLD_H_
