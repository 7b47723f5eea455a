#include "coppervalve/membership/silent_member_detector.h"

#include <algorithm>  // count_if, min
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::membership {

SilentMemberDetector::SilentMemberDetector(MemberId self,
                                           RetirementLimits limits)
    : m_self(std::move(self)),
      m_limits(limits),
      m_name(RendezvousName(m_self)) {}

void SilentMemberDetector::SetRetireAfter(core::Duration retire_after) {
  m_limits.retire_after = retire_after;
}

void SilentMemberDetector::OnReadToEnd(core::TimePoint issued,
                                       const std::vector<Member>& members) {
  m_is_member = false;
  for (const Member& member : members) {
    if (member.id == m_self) {
      ObserveSelf(issued, member);
    }
  }
  const core::Duration silence = CountedSilence(issued);
  std::map<MemberId, TrackedMember> before = std::move(m_tracked);
  m_tracked.clear();
  for (const Member& member : members) {
    if (member.id == m_self) {
      continue;
    }
    const auto known = before.find(member.id);
    if (known != before.end()) {
      m_tracked.insert(before.extract(known));
    }
    Observe(member, silence);
  }
  m_last_read = issued;
}

void SilentMemberDetector::ObserveSelf(core::TimePoint issued,
                                       const Member& self) {
  m_is_member = true;
  m_own_phase = self.phase;
  if (self.last_sequence > m_own_sequence) {
    m_own_sequence = self.last_sequence;
    m_own_entry_read = issued;
  }
}

void SilentMemberDetector::Observe(const Member& member,
                                   core::Duration silence) {
  TrackedMember& tracked = m_tracked[member.id];
  tracked.phase = member.phase;
  if (tracked.name.empty() || tracked.last_sequence != member.last_sequence) {
    tracked.name = RendezvousName(member.id);
    tracked.last_sequence = member.last_sequence;
    tracked.silent = {};
    tracked.own_rank.reset();
    tracked.reported_at.reset();
    return;
  }
  tracked.silent += silence;
}

/// Part of the time since the last read that counts as silence of members
/// without new entries.
core::Duration SilentMemberDetector::CountedSilence(
    core::TimePoint issued) const {
  if (!m_is_member || !m_last_read || !m_own_entry_read) {
    return {};
  }
  // If appends fail for all routers while reads work, all routers would retire
  // each other on recovery, before the first entries of the others arrive. So
  // no silence is counted while none of this router's own entries arrive.
  if (issued - *m_own_entry_read > m_limits.max_own_entry_age) {
    return {};
  }
  // A router that was paused or cut off would count its own absence as silence
  // of all others. So one read adds no more than a usual gap between reads.
  return std::min(issued - *m_last_read, m_limits.max_read_gap);
}

std::vector<v1::RouterRetired> SilentMemberDetector::TakeDue(
    core::TimePoint now) {
  std::vector<v1::RouterRetired> due;
  if (!m_is_member) {
    return due;
  }
  const bool most_silent = MostAreSilent();
  for (auto& [id, tracked] : m_tracked) {
    if (!IsDue(now, tracked, most_silent)) {
      continue;
    }
    tracked.reported_at = now;
    v1::RouterRetired& record = due.emplace_back();
    record.set_router(id.router.value());
    record.set_incarnation(id.incarnation.value());
    record.set_as_of_sequence(tracked.last_sequence.value());
    record.set_reason(v1::SILENT);
  }
  return due;
}

bool SilentMemberDetector::IsDue(core::TimePoint now,
                                 TrackedMember& tracked,
                                 bool most_silent) const {
  const core::Duration timeout = TimeoutFor(tracked, most_silent);
  if (tracked.silent < timeout) {
    return false;
  }
  if (tracked.reported_at &&
      now - *tracked.reported_at < m_limits.report_again_after) {
    return false;
  }
  if (!tracked.own_rank) {
    tracked.own_rank = OwnRank(tracked);
  }
  const auto rank = static_cast<core::Duration::rep>(*tracked.own_rank);
  return tracked.silent >= timeout + m_limits.stagger * rank;
}

/// A draining member gets no new callers, so a late retirement costs little.
/// When most members are silent at once, the log or the connection to it is the
/// more likely cause, and retiring working routers would refuse valid requests.
core::Duration SilentMemberDetector::TimeoutFor(const TrackedMember& tracked,
                                                bool most_silent) const {
  core::Duration timeout = m_limits.retire_after;
  if (tracked.phase == MemberPhase::kDraining) {
    timeout *= m_limits.draining_factor;
  }
  return most_silent ? timeout * m_limits.most_silent_factor : timeout;
}

bool SilentMemberDetector::IsSilent(const TrackedMember& tracked) const {
  return tracked.silent >= m_limits.retire_after;
}

bool SilentMemberDetector::MostAreSilent() const {
  const auto silent = static_cast<size_t>(
      std::count_if(m_tracked.begin(), m_tracked.end(),
                    [this](const auto& at) { return IsSilent(at.second); }));
  return silent * 2 > m_tracked.size() + 1;
}

/// Rank of this router among the active observers of a silent member; a
/// draining observer ranks last.
size_t SilentMemberDetector::OwnRank(const TrackedMember& target) const {
  const bool draining = m_own_phase == MemberPhase::kDraining;
  const uint64_t own = core::RendezvousRank(target.name, m_name);
  size_t before = 0;
  for (const auto& [id, other] : m_tracked) {
    if (IsSilent(other) || other.phase == MemberPhase::kDraining) {
      continue;
    }
    const uint64_t rank = core::RendezvousRank(target.name, other.name);
    before += draining || rank > own ? 1U : 0U;
  }
  return before;
}

}  // namespace coppervalve::membership
