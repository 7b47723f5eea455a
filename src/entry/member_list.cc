#include "coppervalve/entry/member_list.h"

#include <algorithm>  // count_if, max, min
#include <cstddef>    // size_t
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

// A longer time between two calls means that this process was paused or
// disconnected. Such a step does not count as silence of other routers.
constexpr core::Duration kMaxStep{1'000'000};
// Factor on the load that leaves room for bursts and for the load of routers
// that fail.
constexpr double kLoadHeadroom = 1.5;
// The required capacity grows at once and shrinks by this factor per step, so
// that short changes of the load do not make routers switch between active and
// standby.
constexpr double kCapacityDecay = 0.99;
// Factor on the requirements that also selects the next standbys, which have as
// much capacity as the active routers.
constexpr size_t kNextStandbysFactor = 2;
// If all other routers are silent, they count as failed only after this many
// times the silence time of one.
constexpr int kAllSilentFactor = 3;
// A failed router counts towards the size of the fleet for this long, as it may
// be restarting.
constexpr core::Duration kKnownFor{60'000'000};
// A router has failed if it misses this many halves of its period.
constexpr int kSilentPeriods = 3;
// With only one other router, its silence cannot be distinguished from the
// silence of all others.
constexpr size_t kMaxAmbiguousMembers = 2;

}  // namespace

void MemberList::OnHeartbeat(const core::RouterId& router,
                             const v1::RouterBeat& beat) {
  Member& member = m_members[router];
  const bool newer =
      beat.epoch() > member.epoch ||
      (beat.epoch() == member.epoch && beat.sequence() > member.sequence);
  if (!newer) {
    return;
  }
  const bool changed =
      member.ready != beat.ready() || member.leaving != beat.leaving();
  member = Member();
  member.addresses = {beat.caller_address(), beat.load_address()};
  member.epoch = beat.epoch();
  member.sequence = beat.sequence();
  member.ready = beat.ready();
  member.leaving = beat.leaving();
  member.failure_domain = core::FailureDomainId(beat.failure_domain());
  member.capacity = beat.capacity();
  member.load = beat.load();
  member.upstreams = beat.upstreams();
  m_outdated = m_outdated || changed;
}

// Selecting the active routers takes longer than reading a heartbeat, and a
// large fleet that starts changes with every heartbeat.
void MemberList::Refresh(core::TimePoint now) {
  m_view.reset();
  if (m_members.size() != m_counted) {
    m_counted = m_members.size();
    m_last_joined = now;
  }
  if (m_outdated) {
    UpdateActive(now);
  }
}

void MemberList::AdoptView(FleetView view) {
  m_self_active_or_next =
      view.active.contains(m_self) || view.next.contains(m_self);
  SetActive(view.active);
  m_view = std::move(view);
}

FleetView MemberList::View() const {
  FleetView view;
  view.active = m_active;
  view.next = m_next;
  view.live = LiveCount();
  view.known = KnownCount();
  view.upstreams = MaxUpstreamCount();
  return view;
}

void MemberList::Advance(const StoreContact& contact,
                         core::TimePoint now,
                         core::Duration longest_period) {
  const core::Duration step = now - m_advanced;
  m_advanced = now;
  if (m_view || !contact.up() || step > kMaxStep) {
    return;
  }
  for (auto& [router, member] : m_members) {
    member.silent_for += step;
  }
  DropSilent(std::max(m_silence, longest_period * kSilentPeriods / 2));
  m_required_capacity =
      std::max(m_required_capacity * kCapacityDecay, Load() * kLoadHeadroom);
  UpdateActive(now);
}

core::Duration MemberList::ShortestSilence() const {
  core::Duration shortest = core::Duration::max();
  for (const auto& [router, member] : m_members) {
    shortest = std::min(shortest, member.silent_for);
  }
  return shortest;
}

// If hundreds of routers cannot write, or this router cannot read their
// heartbeats in time, all seem to have failed at once. Each router would then
// consider itself the only one, and a weak VM would receive all callers. A
// heartbeat of any other router, or this router's own heartbeat read back,
// shows that the log works, so the silent routers have failed. (If its own did
// not count, the last router of a fleet would keep announcing failed ones.) If
// no heartbeat is read for long, all others are considered failed.
void MemberList::DropSilent(core::Duration silence) {
  const core::Duration shortest = ShortestSilence();
  const bool all_silent =
      m_members.size() > kMaxAmbiguousMembers && shortest >= m_silence;
  if (all_silent && shortest < m_silence * kAllSilentFactor) {
    return;
  }
  for (auto& [router, member] : m_members) {
    const bool silent = router != m_self && member.silent_for >= silence;
    member.live = member.live && !silent;
  }
}

double MemberList::Load() const {
  double load = 0;
  for (const auto& [router, member] : m_members) {
    load += member.live ? member.load : 0;
  }
  return load;
}

// A router whose direct reports stopped is left out sooner than its missing
// heartbeats would show.
void MemberList::UpdateActive(core::TimePoint now) {
  m_outdated = false;
  std::vector<Candidate> candidates;
  for (const auto& [router, member] : m_members) {
    const bool lost = router != m_self && m_peers.IsLost(router, now);
    if (member.live && member.ready && !member.leaving && !lost) {
      candidates.push_back({router, member.failure_domain, member.capacity});
    }
  }
  ActiveSetRequirements requirements;
  requirements.requests_per_second = m_required_capacity;
  requirements.min_routers = m_least_active;
  ActiveSetRequirements with_next = requirements;
  with_next.requests_per_second *= kNextStandbysFactor;
  with_next.min_routers *= kNextStandbysFactor;
  std::map<core::RouterId, RouterAddresses> active;
  m_next.clear();
  double capacity = 0;
  // The selection for lower requirements is a prefix of the one for higher
  // ones.
  for (const Candidate& chosen :
       SelectActive(std::move(candidates), with_next)) {
    const bool enough = active.size() >= requirements.min_routers &&
                        capacity >= requirements.requests_per_second;
    if (enough) {
      m_next.insert(chosen.router);
      continue;
    }
    capacity += chosen.capacity;
    active.emplace(chosen.router, m_members.at(chosen.router).addresses);
  }
  m_self_active_or_next = active.contains(m_self) || m_next.contains(m_self);
  SetActive(std::move(active));
}

void MemberList::SetActive(std::map<core::RouterId, RouterAddresses> active) {
  if (active != m_active) {
    m_active = std::move(active);
    ++m_active_version;
  }
}

std::vector<std::string> MemberList::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [router, reached_at] : m_active) {
    addresses.push_back(reached_at.callers);
  }
  return addresses;
}

std::vector<std::string> MemberList::LoadAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [router, reached_at] : m_active) {
    if (router != m_self && !reached_at.loads.empty()) {
      addresses.push_back(reached_at.loads);
    }
  }
  return addresses;
}

std::vector<std::string> MemberList::NextLoadAddresses() const {
  std::vector<std::string> addresses;
  for (const core::RouterId& router : m_next) {
    const std::string address =
        router == m_self ? std::string() : LoadAddressOf(router);
    if (!address.empty()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

bool MemberList::SelfOwns(std::string_view key) const {
  return ActiveRankedAbove(key) == 0;
}

uint32_t MemberList::ActiveRankedAbove(std::string_view key) const {
  const uint64_t own = core::RendezvousRank(key, m_self.value());
  return static_cast<uint32_t>(
      std::count_if(m_active.begin(), m_active.end(), [&](const auto& active) {
        return active.first != m_self &&
               core::RendezvousRank(key, active.first.value()) >= own;
      }));
}

std::string MemberList::LoadAddressOf(const core::RouterId& router) const {
  const auto active = m_active.find(router);
  if (active != m_active.end()) {
    return active->second.loads;
  }
  const auto found = m_members.find(router);
  return found != m_members.end() && found->second.live
             ? found->second.addresses.loads
             : std::string();
}

double MemberList::LeastCapacity() const {
  double least = 0;
  for (const auto& [router, member] : m_members) {
    const bool chosen = m_active.contains(router) || m_next.contains(router);
    if (chosen && (least == 0 || member.capacity < least)) {
      least = member.capacity;
    }
  }
  return least;
}

uint32_t MemberList::ActiveCount() const {
  return std::max(static_cast<uint32_t>(m_active.size()), 1U);
}

size_t MemberList::MaxUpstreamCount() const {
  if (m_view) {
    return m_view->upstreams;
  }
  size_t max_count = 0;
  for (const auto& [router, member] : m_members) {
    max_count = std::max(max_count, member.live ? size_t{member.upstreams} : 0);
  }
  return max_count;
}

// If rates and silence followed the live routers alone, a fleet whose
// heartbeats are late would seem small, its rare heartbeats would count as
// silence, and more and more routers would seem to have failed.
uint32_t MemberList::KnownCount() const {
  uint32_t known = m_view ? m_view->known : 0;
  for (const auto& [router, member] : m_members) {
    known += !m_view && member.silent_for < kKnownFor ? 1 : 0;
  }
  return std::max(known, LiveCount());
}

uint32_t MemberList::LiveCount() const {
  if (m_view) {
    return std::max(m_view->live, 1U);
  }
  uint32_t live = 0;
  for (const auto& [router, member] : m_members) {
    live += member.live ? 1 : 0;
  }
  return std::max(live, 1U);
}

}  // namespace coppervalve::entry
