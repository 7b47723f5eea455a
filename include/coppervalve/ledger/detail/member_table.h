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

/// @brief Live members, and retired ones for the dedup window or as long as
/// tokens of theirs are quarantined. An incarnation names one router only.
class MemberTable {
 public:
  /// @return null when not remembered
  Member* Find(core::Incarnation incarnation);
  const Member* Find(core::Incarnation incarnation) const;
  /// @return null when not remembered, or when another router uses it
  Member* Find(const core::RouterId& id, core::Incarnation incarnation);
  const Member* Find(const core::RouterId& id,
                     core::Incarnation incarnation) const;
  Member* FindLive(const core::RouterId& id);
  const Member* FindLive(const core::RouterId& id) const;

  /// @pre the incarnation is unknown, and no other of this id is live
  Member& Add(Member member);
  /// @brief Ends the membership; the caller quarantines the holdings.
  void Retire(Member& member, core::LogOffset offset, v1::RetireReason reason);
  /// @brief Forgets members that retired more than `window` below `offset` and
  /// have nothing quarantined. @complexity amortized by retirements
  void Prune(core::LogOffset offset, uint64_t window);
  /// @brief Forgets a holding through which no token has ever passed.
  void RemoveUnusedHolding(core::Incarnation incarnation,
                           const core::BudgetId& budget);
  /// @brief Forgets one member if Prune() passed it over before and its last
  /// quarantined tokens have left since. @complexity its holdings
  void PruneIfEmpty(core::Incarnation incarnation,
                    core::LogOffset offset,
                    uint64_t window);

  /// @brief In no particular order.
  const std::unordered_map<core::Incarnation, Member>& all() const {
    return m_members;
  }
  /// @brief Live members by router id. @complexity linear
  std::vector<const Member*> Live() const;
  /// @brief Retired members by incarnation. @complexity n log n
  std::vector<const Member*> Retired() const;
  /// @brief All by incarnation. @complexity n log n
  std::vector<const Member*> Sorted() const;

 private:
  std::unordered_map<core::Incarnation, Member> m_members;
  std::map<core::RouterId, core::Incarnation> m_live;
  std::deque<core::Incarnation> m_retired;  // in log order, within the window
};

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_MEMBER_TABLE_H_
