#ifndef COPPERVALVE_LEDGER_DETAIL_MEMBER_TABLE_H_
#define COPPERVALVE_LEDGER_DETAIL_MEMBER_TABLE_H_

#include <cstdint>        // uint64_t
#include <deque>          // deque
#include <map>            // map
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/ledger/member.h"

namespace coppervalve::ledger::detail {

/// @brief Live and retired members. Retired members are kept for the dedup
/// window and as long as they have quarantined tokens.
/// An incarnation belongs to only one router.
class MemberTable {
 public:
  /// @return null when unknown or removed
  Member* Find(core::Incarnation incarnation);
  const Member* Find(core::Incarnation incarnation) const;
  /// @return null when unknown or removed, or when it belongs to another router
  Member* Find(const core::RouterId& id, core::Incarnation incarnation);
  const Member* Find(const core::RouterId& id,
                     core::Incarnation incarnation) const;
  Member* FindLive(const core::RouterId& id);
  const Member* FindLive(const core::RouterId& id) const;

  /// @pre the incarnation is unknown, and no other of this id is live
  Member& Add(Member member);
  /// @brief Marks a member as retired; the caller quarantines its holdings.
  void Retire(Member& member, core::LogOffset offset, v1::RetireReason reason);
  /// @brief Removes members that retired more than `window` below `offset` and
  /// have no quarantined tokens. @complexity amortized by retirements
  void Prune(core::LogOffset offset, uint64_t window);
  /// @brief Removes a holding that has never had tokens.
  void RemoveUnusedHolding(core::Incarnation incarnation,
                           const core::BudgetId& budget);
  /// @brief Removes a member that Prune() kept because of quarantined tokens,
  /// once it has none left. @complexity linear in its holdings
  void PruneIfEmpty(core::Incarnation incarnation,
                    core::LogOffset offset,
                    uint64_t window);

  /// @brief In no particular order.
  const std::unordered_map<core::Incarnation, Member>& all() const {
    return m_members;
  }
  /// @brief Live members, sorted by router id. @complexity linear
  std::vector<const Member*> Live() const;
  /// @brief Retired members, sorted by incarnation. @complexity n log n
  std::vector<const Member*> Retired() const;
  /// @brief All members, sorted by incarnation. @complexity n log n
  std::vector<const Member*> Sorted() const;

 private:
  std::unordered_map<core::Incarnation, Member> m_members;
  std::map<core::RouterId, core::Incarnation> m_live;
  std::deque<core::Incarnation> m_retired;  // within the window, in log order
};

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_MEMBER_TABLE_H_
