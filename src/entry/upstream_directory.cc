#include "coppervalve/entry/upstream_directory.h"

#include <algorithm>      // sort
#include <unordered_set>  // unordered_set

#include "coppervalve/entry/peer_loads.h"

namespace coppervalve::entry {

namespace {

bool SameForUs(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.service == b.service && a.address == b.address &&
         a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.leaving == b.leaving;
}

}  // namespace

bool UpstreamDirectory::ReturnsAreOver(const StoreContact& contact,
                                       core::TimePoint now) const {
  const auto regained = contact.regained();
  return regained && now - *regained >= m_options.return_time;
}

bool UpstreamDirectory::Put(const UpstreamEntry& entry) {
  UpstreamRef& upstream = m_by_id[entry.id];
  if (!upstream) {
    upstream = std::make_shared<Upstream>();
    upstream->load_key = LoadKey(entry.id);
  } else if (!upstream->lapsed && SameForUs(upstream->entry, entry)) {
    return false;
  }
  upstream->entry = entry;
  upstream->lapsed.reset();
  Rebuild();
  return true;
}

// The store drops the entries of upstreams that it has not heard of, and while
// the store itself was away it heard of none. Dropping them all would leave
// callers refused with every upstream idle; so an entry that goes around an
// outage is kept until the upstreams had time to announce themselves again.
// That is enough: what is alive is back by then, and no rule binds us to what
// the store said while it was not well.
bool UpstreamDirectory::Remove(const core::UpstreamId& id,
                               const StoreContact& contact,
                               core::TimePoint now) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return false;
  }
  const UpstreamRef& upstream = found->second;
  const bool known_to_leave = upstream->entry.leaving;
  if (known_to_leave || ReturnsAreOver(contact, now)) {
    Forget(id);
    Rebuild();
    return true;
  }
  if (!upstream->lapsed) {
    upstream->lapsed = now;
  }
  return false;
}

void UpstreamDirectory::ReplaceAll(const std::vector<UpstreamEntry>& entries,
                                   const StoreContact& contact,
                                   core::TimePoint now) {
  std::unordered_set<core::UpstreamId> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    Put(entry);
  }
  std::vector<core::UpstreamId> missing;
  for (const auto& [id, upstream] : m_by_id) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const core::UpstreamId& id : missing) {
    Remove(id, contact, now);
  }
}

std::vector<core::UpstreamId> UpstreamDirectory::DropLapsed(
    const StoreContact& contact,
    core::TimePoint now) {
  std::vector<core::UpstreamId> gone;
  if (!ReturnsAreOver(contact, now)) {
    return gone;
  }
  for (const auto& [id, upstream] : m_by_id) {
    if (upstream->lapsed) {
      gone.push_back(id);
    }
  }
  for (const core::UpstreamId& id : gone) {
    Forget(id);
  }
  if (!gone.empty()) {
    Rebuild();
  }
  return gone;
}

const std::vector<UpstreamRef>& UpstreamDirectory::Of(
    const core::ServiceId& service) const {
  static const std::vector<UpstreamRef> none;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? none : found->second;
}

UpstreamRef UpstreamDirectory::Find(const core::UpstreamId& id) const {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

void UpstreamDirectory::Forget(const core::UpstreamId& id) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return;
  }
  // Requests in progress keep the object: it must not look usable to them.
  found->second->entry.leaving = true;
  m_by_id.erase(found);
}

void UpstreamDirectory::Rebuild() {
  m_by_service.clear();
  for (const auto& [id, upstream] : m_by_id) {
    if (!upstream->entry.leaving) {
      m_by_service[upstream->entry.service].push_back(upstream);
    }
  }
  // All routers list them in the same order, whatever order they read.
  for (auto& [service, upstreams] : m_by_service) {
    std::sort(upstreams.begin(), upstreams.end(),
              [](const UpstreamRef& a, const UpstreamRef& b) {
                return a->entry.id < b->entry.id;
              });
  }
}

}  // namespace coppervalve::entry
