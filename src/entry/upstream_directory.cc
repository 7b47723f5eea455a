#include "coppervalve/entry/upstream_directory.h"

#include <algorithm>      // count_if, max, min
#include <string>         // to_string
#include <unordered_set>  // unordered_set

#include "coppervalve/core/hash.h"
#include "coppervalve/entry/peer_loads.h"

namespace coppervalve::entry {

namespace {

bool SameForRouting(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.service == b.service && a.address == b.address &&
         a.version == b.version && a.failure_domain == b.failure_domain &&
         a.slots == b.slots && a.leaving == b.leaving;
}

// A process has one software version for as long as it runs.
bool IsOtherStart(const UpstreamEntry& known, const UpstreamEntry& entry) {
  const bool other_number = entry.start_number && known.start_number &&
                            *entry.start_number != *known.start_number;
  return other_number || entry.version != known.version;
}

// Load reports of one start must not count for the next one.
uint32_t LoadKeyOf(const UpstreamEntry& entry) {
  if (!entry.start_number) {
    return LoadKey(entry.id);
  }
  return LoadKey(core::UpstreamId(entry.id.value() + "#" +
                                  std::to_string(*entry.start_number)));
}

// Ids of removed upstreams are not reused for long; this covers many days.
constexpr size_t kMaxRememberedIds = 20'000;

// A record may be read late and its age is unknown. The remaining warm-up time
// counts from when it is read, so the age is added to it instead of subtracted.
void UpdateWarmUp(const UpstreamEntry& entry,
                  core::TimePoint read_at,
                  WarmUpState& state) {
  if (entry.warm_up_left > core::Duration::zero()) {
    state.announced_until =
        std::max(state.announced_until, read_at + entry.warm_up_left);
  }
}

template <typename Map, typename Known>
void PruneUnknown(Map& kept, const Known& known) {
  if (kept.size() >= kMaxRememberedIds) {
    std::erase_if(kept,
                  [&](const auto& one) { return !known.contains(one.first); });
  }
}

}  // namespace

RecordKind KindOf(const UpstreamRecord& record) {
  if (!record.entry) {
    return RecordKind::kNone;
  }
  return record.entry->leaving ? RecordKind::kLeaving : RecordKind::kUsable;
}

bool UpstreamDirectory::ReturnTimeIsOver(const StoreContact& contact,
                                         core::TimePoint now) const {
  const auto reachable_since = contact.reachable_since();
  return reachable_since && now - *reachable_since >= m_options.return_time;
}

DirectoryChange UpstreamDirectory::OnRecord(const UpstreamRecord& record) {
  switch (KindOf(record)) {
    case RecordKind::kUsable:
    case RecordKind::kLeaving:
      return Put(*record.entry, record.read_at);
    case RecordKind::kNone:
      break;
  }
  return Drop(record.id);
}

// A late record of an earlier start would restore the address of a start that
// ended: requests would go to a closed port or another upstream.
bool UpstreamDirectory::IsOfEarlierStart(const UpstreamEntry& entry) const {
  const auto latest = m_latest_starts.find(entry.id);
  return entry.start_number && latest != m_latest_starts.end() &&
         *entry.start_number < latest->second;
}

void UpstreamDirectory::RememberStart(const UpstreamEntry& entry) {
  if (!entry.start_number) {
    return;
  }
  PruneUnknown(m_latest_starts, m_by_id);
  m_latest_starts[entry.id] = *entry.start_number;
}

void UpstreamDirectory::RememberLeaving(const UpstreamEntry& entry) {
  PruneUnknown(m_announced_leaving, m_by_id);
  m_announced_leaving[entry.id] = entry.start_number;
}

// While the store is unavailable, the record still states that the upstream is
// ready, and records older than the announcement may be read afterwards.
bool UpstreamDirectory::HasAnnouncedLeaving(const UpstreamEntry& entry) {
  const auto announced = m_announced_leaving.find(entry.id);
  if (announced == m_announced_leaving.end()) {
    return false;
  }
  const std::optional<int64_t>& start_number = announced->second;
  if (entry.start_number && start_number &&
      *entry.start_number != *start_number) {
    m_announced_leaving.erase(announced);
    return false;
  }
  if (!start_number) {
    announced->second = entry.start_number;
  }
  return true;
}

void UpstreamDirectory::OnEvacuationEnded(const core::FailureDomainId& domain,
                                          core::TimePoint now) {
  for (const auto& [id, upstream] : m_by_id) {
    if (upstream->entry.failure_domain == domain) {
      upstream->warm_up.cold_since = now;
    }
  }
}

bool UpstreamDirectory::OnLeavingAnnounced(const UpstreamRef& upstream) {
  const UpstreamRef known = Find(upstream->entry.id);
  if (known && known != upstream) {
    return false;  // another start has the id now
  }
  // The announcement is remembered even if the record already states it or was
  // removed: an older record of this start, which still states that it is
  // ready, may be read afterwards.
  RememberLeaving(upstream->entry);
  if (!known || upstream->entry.leaving) {
    return false;
  }
  m_by_service.Erase(upstream);
  upstream->entry.leaving = true;
  return true;
}

bool UpstreamDirectory::OnLimitReceived(const UpstreamRef& upstream,
                                        std::optional<double> per_second,
                                        core::TimePoint sent_at,
                                        core::TimePoint now) {
  const UpstreamRef known = Find(upstream->entry.id);
  const bool same_start =
      !known || known->entry.start_number == upstream->entry.start_number;
  Upstream& sender = known && same_start ? *known : *upstream;
  const bool changed = sender.limit.OnAnswer(per_second, sent_at, now);
  m_limits_received = m_limits_received || changed;
  if (changed && !known) {
    RememberLimit(sender);
  }
  return changed;
}

// An upstream whose entry expires in the store returns as the same start, and
// its limit still applies.
void UpstreamDirectory::RememberLimit(const Upstream& upstream) {
  if (!upstream.limit.per_second()) {
    m_kept_limits.erase(upstream.entry.id);
    return;
  }
  PruneUnknown(m_kept_limits, m_by_id);
  m_kept_limits[upstream.entry.id] = {upstream.entry.start_number,
                                      upstream.limit};
}

void UpstreamDirectory::RestoreLimit(const UpstreamEntry& entry,
                                     Upstream& upstream) {
  const auto kept = m_kept_limits.find(entry.id);
  if (kept == m_kept_limits.end()) {
    return;
  }
  if (kept->second.start_number == entry.start_number) {
    upstream.limit = kept->second.limit;
  }
  m_kept_limits.erase(kept);
}

UpstreamRef UpstreamDirectory::OtherAtAddress(const Upstream& asked) const {
  UpstreamRef found;
  for (const auto& [id, upstream] : m_by_id) {
    const bool same_address = upstream->entry.address == asked.entry.address;
    if (id == asked.entry.id || !same_address) {
      continue;
    }
    if (found) {
      return nullptr;
    }
    found = upstream;
  }
  return found;
}

std::optional<core::TimePoint> UpstreamDirectory::AllPausedUntil(
    const core::ServiceId& service,
    core::TimePoint now) const {
  std::optional<core::TimePoint> first;
  for (const UpstreamRef& upstream : Of(service)) {
    if (upstream->paused_until <= now) {
      return std::nullopt;
    }
    first = std::min(first.value_or(upstream->paused_until),
                     upstream->paused_until);
  }
  return first;
}

// After a restart, the state of the earlier start would cause wrong placements:
// cached prefixes that are gone, failures of the earlier start, and requests in
// progress that ended with it. So each start is a new object.
DirectoryChange UpstreamDirectory::Put(const UpstreamEntry& entry,
                                       core::TimePoint read_at) {
  if (IsOfEarlierStart(entry)) {
    return DirectoryChange::kNothing;
  }
  RememberStart(entry);
  UpstreamEntry put = entry;
  put.leaving = put.leaving || HasAnnouncedLeaving(entry);
  UpstreamRef& known = m_by_id[entry.id];
  const bool restarted = known && IsOtherStart(known->entry, entry);
  if (known) {
    UpdateWarmUp(entry, read_at, known->warm_up);
  }
  if (known && !restarted) {
    put.start_number =
        entry.start_number ? entry.start_number : known->entry.start_number;
    const bool unchanged =
        !known->expired_at && SameForRouting(known->entry, put);
    known->entry.start_number = put.start_number;
    if (unchanged) {
      return DirectoryChange::kNothing;
    }
  }
  if (known) {
    m_by_service.Erase(known);
    RemoveVersion(known->entry);
  }
  if (restarted) {
    m_by_load_key.erase(known->load_key);
    known->entry.leaving = true;
    NotifyGone(known->entry);
  }
  if (!known || restarted) {
    known = std::make_shared<Upstream>();
    known->order = core::Hash64(entry.id.value());
    known->load_key = LoadKeyOf(put);
    known->listed_at = read_at;
    m_by_load_key[known->load_key] = known;
    if (m_list_read || restarted) {
      known->warm_up.cold_since = read_at;
    }
    UpdateWarmUp(entry, read_at, known->warm_up);
    RestoreLimit(put, *known);
  }
  known->entry = put;
  ++m_versions[put.service][put.version];
  known->expired_at.reset();
  if (!known->entry.leaving) {
    m_by_service.Insert(known);
  }
  return restarted ? DirectoryChange::kNewStart : DirectoryChange::kChanged;
}

// The record, whoever wrote it, replaced the upstream's own one, so the
// upstream's address and whether it still exists are unknown.
DirectoryChange UpstreamDirectory::Drop(const core::UpstreamId& id) {
  if (!m_by_id.contains(id)) {
    return DirectoryChange::kNothing;
  }
  Forget(id);
  return DirectoryChange::kDropped;
}

// The store expires the entries of upstreams without heartbeats, and while the
// store itself was unavailable it received none. Dropping them all would reject
// callers with every upstream idle. So an entry that expires around an outage
// is kept until the upstreams had time to announce themselves again. Running
// upstreams are listed again by then, and no requirement binds a router to what
// the store reported during a disturbance.
bool UpstreamDirectory::Remove(const core::UpstreamId& id,
                               const StoreContact& contact,
                               core::TimePoint now) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return false;
  }
  const UpstreamRef& upstream = found->second;
  const bool known_to_leave = upstream->entry.leaving;
  if (known_to_leave || ReturnTimeIsOver(contact, now)) {
    NotifyGone(upstream->entry);
    Forget(id);
    return true;
  }
  if (!upstream->expired_at) {
    upstream->expired_at = now;
  }
  return false;
}

std::vector<core::UpstreamId> UpstreamDirectory::ReplaceAll(
    const std::vector<UpstreamRecord>& records,
    const StoreContact& contact,
    core::TimePoint now) {
  std::unordered_set<core::UpstreamId> listed;
  std::vector<core::UpstreamId> ended;
  for (const UpstreamRecord& record : records) {
    listed.insert(record.id);
    const DirectoryChange change = OnRecord(record);
    if (change == DirectoryChange::kNewStart ||
        change == DirectoryChange::kDropped) {
      ended.push_back(record.id);
    }
  }
  m_list_read = true;
  std::vector<core::UpstreamId> missing;
  for (const auto& [id, upstream] : m_by_id) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const core::UpstreamId& id : missing) {
    if (Remove(id, contact, now)) {
      ended.push_back(id);
    }
  }
  return ended;
}

std::vector<core::UpstreamId> UpstreamDirectory::DropExpired(
    const StoreContact& contact,
    core::TimePoint now) {
  std::vector<core::UpstreamId> gone;
  if (!ReturnTimeIsOver(contact, now)) {
    return gone;
  }
  for (const auto& [id, upstream] : m_by_id) {
    if (upstream->expired_at) {
      gone.push_back(id);
    }
  }
  for (const core::UpstreamId& id : gone) {
    NotifyGone(m_by_id.at(id)->entry);
    Forget(id);
  }
  return gone;
}

// An upstream that a peer placed a request on is not listed here, and has no
// key in load reports.
void UpstreamDirectory::MarkBusy(const UpstreamRef& upstream) {
  if (upstream->load_key != 0) {
    m_busy.insert(upstream);
  }
}

const std::unordered_set<UpstreamRef>& UpstreamDirectory::Busy() {
  std::erase_if(m_busy, [this](const UpstreamRef& upstream) {
    return upstream->in_flight == 0 || Find(upstream->entry.id) != upstream;
  });
  return m_busy;
}

UpstreamRef UpstreamDirectory::Find(const core::UpstreamId& id) const {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

UpstreamRef UpstreamDirectory::FindByLoadKey(uint32_t key) const {
  const auto found = m_by_load_key.find(key);
  return found == m_by_load_key.end() ? nullptr : found->second;
}

size_t UpstreamDirectory::Limited() const {
  return static_cast<size_t>(
      std::count_if(m_by_id.begin(), m_by_id.end(), [](const auto& one) {
        return one.second->limit.per_second().has_value();
      }));
}

void UpstreamDirectory::Forget(const core::UpstreamId& id) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return;
  }
  RememberLimit(*found->second);
  m_by_service.Erase(found->second);
  RemoveVersion(found->second->entry);
  // Requests in progress keep the object, which must not look usable to them.
  found->second->entry.leaving = true;
  m_by_load_key.erase(found->second->load_key);
  m_by_id.erase(found);
}

void UpstreamDirectory::RemoveVersion(const UpstreamEntry& entry) {
  auto& versions = m_versions[entry.service];
  const auto found = versions.find(entry.version);
  if (found != versions.end() && --found->second == 0) {
    versions.erase(found);
  }
  if (versions.empty()) {
    m_versions.erase(entry.service);
  }
}

void UpstreamDirectory::NotifyGone(const UpstreamEntry& entry) const {
  if (m_on_gone) {
    m_on_gone(entry);
  }
}

}  // namespace coppervalve::entry
