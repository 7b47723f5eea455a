#include "coppervalve/membership/peer_view.h"

#include <algorithm>  // find, max, sort
#include <utility>    // move

namespace coppervalve::membership {

namespace {

bool Contains(const std::vector<MemberId>& ids, const MemberId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

struct Ranked {
  uint64_t rank = 0;
  const Member* member = nullptr;
};

bool HigherRank(const Ranked& a, const Ranked& b) {
  return a.rank != b.rank ? a.rank > b.rank : a.member->id < b.member->id;
}

/// Selects from each failure domain round-robin, so that the loss of a domain,
/// or of the connection to it, costs a member only its share of contacts.
std::vector<MemberId> ChooseAcrossDomains(std::vector<Ranked> ranked,
                                          size_t count) {
  std::sort(ranked.begin(), ranked.end(), HigherRank);
  std::map<core::FailureDomainId, size_t> taken;
  struct Pick {
    size_t round = 0;
    size_t place = 0;
    MemberId id;
  };
  std::vector<Pick> picks;
  picks.reserve(ranked.size());
  for (const Ranked& candidate : ranked) {
    const size_t round = taken[candidate.member->failure_domain]++;
    picks.push_back({round, picks.size(), candidate.member->id});
  }
  std::sort(picks.begin(), picks.end(), [](const Pick& a, const Pick& b) {
    return a.round != b.round ? a.round < b.round : a.place < b.place;
  });
  std::vector<MemberId> chosen;
  for (const Pick& pick : picks) {
    if (chosen.size() == count) {
      break;
    }
    chosen.push_back(pick.id);
  }
  return chosen;
}

}  // namespace

PeerView::PeerView(Member self, PeerLimits limits)
    : m_self(std::move(self)),
      m_limits(limits),
      m_name(RendezvousName(m_self.id)) {}

void PeerView::SetMembers(const std::vector<Member>& members) {
  std::map<MemberId, Entry> peers;
  for (const Member& member : members) {
    if (member.id == m_self.id) {
      m_self = member;
      continue;
    }
    // A previous incarnation of this router; it has ended.
    if (member.id.router == m_self.id.router) {
      continue;
    }
    const auto known = m_peers.find(member.id);
    Entry entry = known == m_peers.end() ? Entry{} : std::move(known->second);
    entry.member = member;
    entry.name = RendezvousName(member.id);
    peers.emplace(member.id, std::move(entry));
  }
  m_peers = std::move(peers);
  m_chosen_by.clear();
  m_chosen = ContactsChosenBy(m_self);
}

void PeerView::SetPinned(std::optional<MemberId> peer) {
  m_pinned = std::move(peer);
}

void PeerView::OnHeartbeat(core::TimePoint now,
                           const MemberId& from,
                           const v1::Heartbeat& heartbeat) {
  const auto found = m_peers.find(from);
  if (found == m_peers.end()) {
    return;
  }
  Entry& entry = found->second;
  const core::Duration interval = m_limits.heartbeat_interval;
  const std::optional<core::Duration> gap =
      entry.last_received ? std::optional(now - *entry.last_received)
                          : std::nullopt;
  if (gap && *gap > m_limits.suspect_after) {
    entry.suspected_until = now + m_limits.recovery_delay;
  }
  const core::TimePoint read =
      now - std::chrono::milliseconds(heartbeat.log_age_ms());
  // Heartbeats that were delayed in a stalled connection, or in the socket of a
  // paused process, are handled much later than they were written. Their "read
  // just now" would confirm a configuration that has been replaced since. Such
  // heartbeats arrive after a silence or in a burst, so only one that arrives
  // about one interval after its predecessor counts.
  if (gap && *gap >= interval / 2 && *gap <= interval * 5 / 2) {
    entry.read_to_end =
        entry.read_to_end ? std::max(*entry.read_to_end, read) : read;
  }
  entry.claimed_read_to_end = read;
  entry.last_received = now;
  entry.config_version = core::ConfigVersion(heartbeat.config_version());
  entry.known_version = core::ConfigVersion(heartbeat.known_version());
  entry.draining = heartbeat.draining();
  entry.load = {heartbeat.in_progress(), heartbeat.queued()};
  entry.spares.assign(heartbeat.spares().begin(), heartbeat.spares().end());
}

void PeerView::OnSendFailed(core::TimePoint now, const core::RouterId& router) {
  if (Entry* entry = FindRouter(router)) {
    entry->send_failed = now;
    entry->suspected_until = now + m_limits.recovery_delay;
  }
}

PeerView::Entry* PeerView::FindRouter(const core::RouterId& router) {
  Entry* latest = nullptr;
  for (auto at = m_peers.lower_bound({router, core::Incarnation(0)});
       at != m_peers.end() && at->first.router == router; ++at) {
    latest = &at->second;
  }
  return latest;
}

std::vector<MemberId> PeerView::ContactsChosenBy(const Member& chooser) const {
  const std::string name = RendezvousName(chooser.id);
  std::vector<Ranked> ranked;
  ranked.reserve(m_peers.size() + 1);
  if (chooser.id != m_self.id) {
    ranked.push_back({core::RendezvousRank(name, m_name), &m_self});
  }
  for (const auto& [id, entry] : m_peers) {
    if (id == chooser.id) {
      continue;
    }
    ranked.push_back({core::RendezvousRank(name, entry.name), &entry.member});
  }
  const size_t count = Sampled() ? m_limits.contacts : ranked.size();
  return ChooseAcrossDomains(std::move(ranked), count);
}

/// Computed locally. If each router instead replied to every heartbeat, two
/// routers would keep replying to each other, and the exchange would continue
/// after neither has the other among its chosen contacts.
bool PeerView::HasChosenThisRouter(const Entry& entry) const {
  const auto [known, fresh] = m_chosen_by.try_emplace(entry.member.id, false);
  if (fresh) {
    known->second = Contains(ContactsChosenBy(entry.member), m_self.id);
  }
  return known->second;
}

bool PeerView::ReceivedRecently(core::TimePoint now, const Entry& entry) const {
  return entry.last_received &&
         now - *entry.last_received <= m_limits.suspect_after;
}

std::vector<MemberId> PeerView::PeersToContact(core::TimePoint now) const {
  std::vector<MemberId> contacts = m_chosen;
  if (m_pinned && m_peers.contains(*m_pinned) &&
      !Contains(contacts, *m_pinned)) {
    contacts.push_back(*m_pinned);
  }
  for (const auto& [id, entry] : m_peers) {
    if (contacts.size() >= m_limits.max_contacts) {
      break;
    }
    if (!IsContact(now, entry) || Contains(contacts, id)) {
      continue;
    }
    contacts.push_back(id);
  }
  return contacts;
}

bool PeerView::IsContact(core::TimePoint now, const Entry& entry) const {
  if (!Sampled() || entry.member.id == m_pinned ||
      entry.member.witness == m_self.id) {
    return true;
  }
  return Contains(m_chosen, entry.member.id) ||
         (ReceivedRecently(now, entry) && HasChosenThisRouter(entry));
}

bool PeerView::HeartbeatDue(core::TimePoint now) {
  if (m_heartbeat_sent &&
      now - *m_heartbeat_sent < m_limits.heartbeat_interval) {
    return false;
  }
  m_heartbeat_sent = now;
  return true;
}

void PeerView::Bound(v1::Heartbeat& heartbeat) const {
  while (heartbeat.spares_size() > 0 &&
         heartbeat.ByteSizeLong() > m_limits.max_heartbeat_bytes) {
    heartbeat.mutable_spares()->RemoveLast();
  }
}

bool PeerView::EntryReachable(core::TimePoint now, const Entry& entry) const {
  if (entry.suspected_until && now < *entry.suspected_until) {
    return false;
  }
  if (IsContact(now, entry)) {
    return ReceivedRecently(now, entry);
  }
  // No heartbeats are exchanged with this peer, so only a failed send makes it
  // unreachable.
  return !entry.send_failed ||
         now - *entry.send_failed > m_limits.send_failure_lifetime;
}

bool PeerView::Reachable(core::TimePoint now, const MemberId& peer) const {
  const auto found = m_peers.find(peer);
  return found != m_peers.end() && EntryReachable(now, found->second);
}

Peer PeerView::Describe(core::TimePoint now, const Entry& entry) const {
  Peer peer;
  peer.member = entry.member;
  peer.contacted = IsContact(now, entry);
  peer.reachable = EntryReachable(now, entry);
  peer.draining =
      entry.draining || entry.member.phase == MemberPhase::kDraining;
  peer.last_received = entry.last_received;
  peer.load = entry.load;
  peer.config_version = entry.config_version;
  peer.spares = entry.spares;
  return peer;
}

std::optional<Peer> PeerView::Find(core::TimePoint now,
                                   const MemberId& peer) const {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return std::nullopt;
  }
  return Describe(now, found->second);
}

std::vector<Peer> PeerView::Peers(core::TimePoint now) const {
  std::vector<Peer> peers;
  peers.reserve(m_peers.size());
  for (const auto& [id, entry] : m_peers) {
    peers.push_back(Describe(now, entry));
  }
  return peers;
}

const Member& PeerView::OwnerOf(const core::Hash128& key) const {
  const std::string text = key.ToBytes();
  const Member* owner = &m_self;
  uint64_t highest = m_self.phase == MemberPhase::kActive
                         ? core::RendezvousRank(text, m_name)
                         : 0;
  for (const auto& [id, entry] : m_peers) {
    if (entry.draining || entry.member.phase != MemberPhase::kActive) {
      continue;
    }
    const uint64_t rank = core::RendezvousRank(text, entry.name);
    if (rank > highest) {
      highest = rank;
      owner = &entry.member;
    }
  }
  return *owner;
}

std::vector<PeerLogReport> PeerView::LogReports(core::TimePoint now) const {
  std::vector<PeerLogReport> log_reports;
  for (const auto& [id, entry] : m_peers) {
    if (!IsContact(now, entry)) {
      continue;
    }
    const bool counts =
        Contains(m_chosen, id) && (Sampled() || entry.member.voter);
    log_reports.push_back({EntryReachable(now, entry), counts,
                           entry.read_to_end, entry.claimed_read_to_end,
                           entry.config_version, entry.known_version});
  }
  return log_reports;
}

std::vector<v1::PeerStatus> PeerView::Status(core::TimePoint now) const {
  std::vector<v1::PeerStatus> statuses;
  for (const auto& [id, entry] : m_peers) {
    v1::PeerStatus& status = statuses.emplace_back();
    status.set_router(id.router.value());
    status.set_incarnation(id.incarnation.value());
    status.set_reachable(EntryReachable(now, entry));
    status.set_config_version(entry.config_version.value());
  }
  return statuses;
}

}  // namespace coppervalve::membership
