#include "coppervalve/membership/retirement_watch.h"

#include <algorithm>  // count_if, min
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::membership {

RetirementWatch::RetirementWatch(MemberId self, RetirementLimits limits)
    : m_self(std::move(self)),
      m_limits(limits),
      m_name(RendezvousName(m_self)) {}

void RetirementWatch::SetRetireAfter(core::Duration retire_after) {
  m_limits.retire_after = retire_after;
}

void RetirementWatch::OnReadToEnd(core::TimePoint issued,
                                  const std::vector<Member>& members) {
  m_is_member = false;
  for (const Member& member : members) {
    if (member.id == m_self) {
      ObserveSelf(issued, member);
    }
  }
  const core::Duration credit = Credit(issued);
  std::map<MemberId, Watched> before = std::move(m_watched);
  m_watched.clear();
  for (const Member& member : members) {
    if (member.id == m_self) {
      continue;
    }
    const auto known = before.find(member.id);
    if (known != before.end()) {
      m_watched.insert(before.extract(known));
    }
    Observe(member, credit);
  }
  m_last_read = issued;
}

void RetirementWatch::ObserveSelf(core::TimePoint issued, const Member& self) {
  m_is_member = true;
  m_own_phase = self.phase;
  if (self.last_sequence > m_own_sequence) {
    m_own_sequence = self.last_sequence;
    m_own_entry = issued;
  }
}

void RetirementWatch::Observe(const Member& member, core::Duration credit) {
  Watched& watched = m_watched[member.id];
  watched.phase = member.phase;
  if (watched.name.empty() || watched.last_sequence != member.last_sequence) {
    watched.name = RendezvousName(member.id);
    watched.last_sequence = member.last_sequence;
    watched.silent = {};
    watched.own_rank.reset();
    watched.handed_out.reset();
    return;
  }
  watched.silent += credit;
}

/// How much of the time since the last read counts against silent members.
core::Duration RetirementWatch::Credit(core::TimePoint issued) const {
  if (!m_is_member || !m_last_read || !m_own_entry) {
    return {};
  }
  // Failure: appends fail for everybody while reads work. Symptom: when they
  // work again, all routers retire each other before the first entry of the
  // others is in. Enough: while none of its own entries arrive, this router
  // holds nobody's silence against them.
  if (issued - *m_own_entry > m_limits.own_entry_within) {
    return {};
  }
  // Failure: this router was paused or cut off. Symptom: on resuming it takes
  // its own absence for the silence of all. Enough: one read adds no more than
  // a usual gap between reads.
  return std::min(issued - *m_last_read, m_limits.max_read_gap);
}

std::vector<v1::RouterRetired> RetirementWatch::TakeDue(core::TimePoint now) {
  std::vector<v1::RouterRetired> due;
  if (!m_is_member) {
    return due;
  }
  const bool mass = MassSilence();
  for (auto& [id, watched] : m_watched) {
    if (!Due(now, watched, mass)) {
      continue;
    }
    watched.handed_out = now;
    v1::RouterRetired& record = due.emplace_back();
    record.set_router(id.router.value());
    record.set_incarnation(id.incarnation.value());
    record.set_as_of_sequence(watched.last_sequence.value());
    record.set_reason(v1::SILENT);
  }
  return due;
}

bool RetirementWatch::Due(core::TimePoint now,
                          Watched& watched,
                          bool mass) const {
  const core::Duration patience = PatienceFor(watched, mass);
  if (watched.silent < patience) {
    return false;
  }
  if (watched.handed_out && now - *watched.handed_out < m_limits.repeat_after) {
    return false;
  }
  if (!watched.own_rank) {
    watched.own_rank = OwnRank(watched);
  }
  const auto rank = static_cast<core::Duration::rep>(*watched.own_rank);
  return watched.silent >= patience + m_limits.stagger * rank;
}

/// A draining member gets no new callers, so retiring it late costs little.
/// When most are silent at once, the log or the way to it is the likelier
/// cause, and retiring routers that work would refuse good requests.
core::Duration RetirementWatch::PatienceFor(const Watched& watched,
                                            bool mass) const {
  core::Duration patience = m_limits.retire_after;
  if (watched.phase == MemberPhase::kDraining) {
    patience *= m_limits.draining_factor;
  }
  return mass ? patience * m_limits.mass_factor : patience;
}

bool RetirementWatch::Silent(const Watched& watched) const {
  return watched.silent >= m_limits.retire_after;
}

bool RetirementWatch::MassSilence() const {
  const auto silent = static_cast<size_t>(
      std::count_if(m_watched.begin(), m_watched.end(),
                    [this](const auto& at) { return Silent(at.second); }));
  return silent * 2 > m_watched.size() + 1;
}

/// Place of this router among the active observers of a silent member; a
/// draining one comes last.
size_t RetirementWatch::OwnRank(const Watched& target) const {
  const bool draining = m_own_phase == MemberPhase::kDraining;
  const uint64_t own = core::RendezvousRank(target.name, m_name);
  size_t before = 0;
  for (const auto& [id, other] : m_watched) {
    if (Silent(other) || other.phase == MemberPhase::kDraining) {
      continue;
    }
    const uint64_t rank = core::RendezvousRank(target.name, other.name);
    before += draining || rank > own ? 1U : 0U;
  }
  return before;
}

}  // namespace coppervalve::membership
