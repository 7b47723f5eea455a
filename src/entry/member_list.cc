#include "coppervalve/entry/member_list.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// A gap between two calls that is longer than this was spent paused or cut
// off, and tells nothing about the others.
constexpr core::Duration kLongestStep{1'000'000};

}  // namespace

void MemberList::OnBeat(const core::RouterId& router,
                        const v1::RouterBeat& beat,
                        core::TimePoint /*now*/) {
  Member& member = m_members[router];
  const bool newer =
      beat.epoch() > member.epoch ||
      (beat.epoch() == member.epoch && beat.sequence() > member.sequence);
  if (!newer) {
    return;
  }
  member = Member();
  member.address = beat.caller_address();
  member.load_address = beat.load_address();
  member.epoch = beat.epoch();
  member.sequence = beat.sequence();
  member.ready = beat.ready();
  member.leaving = beat.leaving();
}

void MemberList::Advance(const StoreContact& contact, core::TimePoint now) {
  const core::Duration step = now - m_advanced;
  m_advanced = now;
  if (!contact.up() || step > kLongestStep) {
    return;
  }
  for (auto& [router, member] : m_members) {
    if (router == m_self) {
      continue;
    }
    member.silent_for += step;
    member.live = member.live && member.silent_for < m_silence;
  }
}

std::vector<std::string> MemberList::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [router, member] : m_members) {
    if (member.live && member.ready && !member.leaving) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

std::vector<std::string> MemberList::LoadAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [router, member] : m_members) {
    if (member.live && router != m_self && !member.load_address.empty()) {
      addresses.push_back(member.load_address);
    }
  }
  return addresses;
}

uint32_t MemberList::Live() const {
  uint32_t live = 0;
  for (const auto& [router, member] : m_members) {
    live += member.live ? 1 : 0;
  }
  return std::max(live, 1U);
}

}  // namespace coppervalve::entry
