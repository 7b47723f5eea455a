#include "coppervalve/ledger/detail/member_table.h"

#include <algorithm>  // all_of, sort
#include <utility>    // move

namespace coppervalve::ledger::detail {

namespace {

bool HoldsNothing(const Member& member) {
  return std::all_of(member.holdings.begin(), member.holdings.end(),
                     [](const Holdings::value_type& holding) {
                       return holding.second.held() == core::Tokens(0);
                     });
}

bool OutsideWindow(core::LogOffset retired,
                   core::LogOffset offset,
                   uint64_t window) {
  return offset.value() - retired.value() > window;
}

bool ByIncarnation(const Member* a, const Member* b) {
  return a->incarnation < b->incarnation;
}

}  // namespace

Member* MemberTable::Find(core::Incarnation incarnation) {
  const auto found = m_members.find(incarnation);
  return found == m_members.end() ? nullptr : &found->second;
}

const Member* MemberTable::Find(core::Incarnation incarnation) const {
  const auto found = m_members.find(incarnation);
  return found == m_members.end() ? nullptr : &found->second;
}

Member* MemberTable::Find(const core::RouterId& id,
                          core::Incarnation incarnation) {
  Member* member = Find(incarnation);
  return member != nullptr && member->id == id ? member : nullptr;
}

const Member* MemberTable::Find(const core::RouterId& id,
                                core::Incarnation incarnation) const {
  const Member* member = Find(incarnation);
  return member != nullptr && member->id == id ? member : nullptr;
}

Member* MemberTable::FindLive(const core::RouterId& id) {
  const auto found = m_live.find(id);
  return found == m_live.end() ? nullptr : Find(found->second);
}

const Member* MemberTable::FindLive(const core::RouterId& id) const {
  const auto found = m_live.find(id);
  return found == m_live.end() ? nullptr : Find(found->second);
}

Member& MemberTable::Add(Member member) {
  const core::Incarnation incarnation = member.incarnation;
  if (member.live()) {
    m_live.insert_or_assign(member.id, incarnation);
  } else {
    m_retired.push_back(incarnation);
  }
  return m_members.insert_or_assign(incarnation, std::move(member))
      .first->second;
}

void MemberTable::Retire(Member& member,
                         core::LogOffset offset,
                         v1::RetireReason reason) {
  member.phase = v1::RETIRED;
  member.retired_offset = offset;
  member.retire_reason = reason;
  m_live.erase(member.id);
  m_retired.push_back(member.incarnation);
}

void MemberTable::Prune(core::LogOffset offset, uint64_t window) {
  while (!m_retired.empty()) {
    const auto found = m_members.find(m_retired.front());
    if (!OutsideWindow(found->second.retired_offset, offset, window)) {
      return;
    }
    m_retired.pop_front();
    if (HoldsNothing(found->second)) {
      m_members.erase(found);
    }
  }
}

void MemberTable::RemoveUnusedHolding(core::Incarnation incarnation,
                                      const core::BudgetId& budget) {
  Member* member = Find(incarnation);
  if (member == nullptr) {
    return;
  }
  const auto found = member->holdings.find(budget);
  if (found != member->holdings.end() && found->second == Holding{}) {
    member->holdings.erase(found);
  }
}

void MemberTable::PruneIfEmpty(core::Incarnation incarnation,
                               core::LogOffset offset,
                               uint64_t window) {
  const auto found = m_members.find(incarnation);
  if (found == m_members.end() || found->second.live()) {
    return;
  }
  if (!OutsideWindow(found->second.retired_offset, offset, window)) {
    return;
  }
  if (HoldsNothing(found->second)) {
    m_members.erase(found);
  }
}

std::vector<const Member*> MemberTable::Live() const {
  std::vector<const Member*> live;
  live.reserve(m_live.size());
  for (const auto& [id, incarnation] : m_live) {
    live.push_back(Find(incarnation));
  }
  return live;
}

std::vector<const Member*> MemberTable::Retired() const {
  std::vector<const Member*> retired;
  for (const auto& [incarnation, member] : m_members) {
    if (member.live()) {
      continue;
    }
    retired.push_back(&member);
  }
  std::sort(retired.begin(), retired.end(), ByIncarnation);
  return retired;
}

std::vector<const Member*> MemberTable::Sorted() const {
  std::vector<const Member*> sorted;
  sorted.reserve(m_members.size());
  for (const auto& [incarnation, member] : m_members) {
    sorted.push_back(&member);
  }
  std::sort(sorted.begin(), sorted.end(), ByIncarnation);
  return sorted;
}

}  // namespace coppervalve::ledger::detail
