#include "coppervalve/entry/stream_versions.h"

#include <algorithm>  // any_of, find_if, max, min

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

// What is not recorded yet is lost if the process is killed, so the interval is
// short compared with the length of a stream.
constexpr core::Duration kMinRecordInterval{50'000};
// Shares of the store's writes: what heartbeats leave, and what they leave if
// there are no standbys.
constexpr double kShareOfWrites = 0.2;
constexpr double kStandbyShareOfWrites = 0.4;
// All records share a partition, which takes not many more.
constexpr double kMaxRecordsPerSecond = 300;

// Upper bounds of what a record takes beside texts, for a group and a stream.
constexpr size_t kGroupBytes = 24;
constexpr size_t kStreamBytes = 10;

// Null if there is none.
StreamGroup* FindGroup(const StreamStart& start,
                       std::vector<StreamGroup>& groups) {
  const auto found = std::find_if(
      groups.begin(), groups.end(), [&start](const StreamGroup& group) {
        return group.service == start.service && group.version == start.version;
      });
  return found == groups.end() ? nullptr : &*found;
}

size_t SizeOfGroup(const StreamStart& start) {
  return kGroupBytes + start.service.value().size() +
         start.version.value().size();
}

}  // namespace

// Callers choose the ids, so the account is part of the key: one account can't
// change what is known about the streams of another one.
StreamKey StreamKeyOf(const core::AccountId& account,
                      const std::string& request_id) {
  return StreamKey(core::Hash64(request_id, core::Hash64(account.value())));
}

core::Duration StreamRecordInterval(const HeartbeatLimits& limits) {
  const double active = std::max(limits.active, 1U);
  const double active_part = std::min(active / std::max(limits.live, 1U), 1.0);
  const double rate =
      std::min(limits.store_writes_per_second *
                   (kShareOfWrites + kStandbyShareOfWrites * active_part),
               kMaxRecordsPerSecond);
  const double seconds = active / std::max(rate, 1.0);
  return std::max(kMinRecordInterval,
                  core::Duration(static_cast<int64_t>(seconds * 1e6)));
}

StreamVersions::StreamVersions(StreamVersionsOptions options)
    : m_options(options),
      m_history(2 * options.lifetime),
      m_stated(options.lifetime) {}

void StreamVersions::OnVersions(
    const core::ServiceId& service,
    const std::vector<core::UpstreamVersion>& versions,
    core::TimePoint now) {
  m_follows_table = true;
  OnListed(service, versions, now);
}

void StreamVersions::OnTableLost() {
  m_follows_table = false;
  m_history.Interrupt();
}

void StreamVersions::OnListed(
    const core::ServiceId& service,
    const std::vector<core::UpstreamVersion>& versions,
    core::TimePoint now) {
  const bool was_recording = IsRecording(service, now);
  for (const core::UpstreamVersion& version : versions) {
    m_history.OnListed(service, version, now);
  }
  if (!was_recording && IsRecording(service, now)) {
    RecordStartedHere(service);
  }
}

void StreamVersions::OnStart(const StreamStart& start, core::TimePoint now) {
  OnListed(start.service, {start.version}, now);
  Insert(start, /*here=*/true, now);
  // A router that does not follow the table can't tell whether there are
  // others.
  if (IsRecording(start.service, now) || !m_follows_table) {
    m_unwritten.emplace_back(now, start);
  }
}

void StreamVersions::OnStated(const core::ServiceId& service,
                              const core::UpstreamVersion& version,
                              core::TimePoint now) {
  m_stated.OnListed(service, version, now);
}

void StreamVersions::OnRecord(const StreamGroup& group, core::TimePoint now) {
  OnListed(group.service, {group.version}, now);
  if (group.seen != VersionsSeen::kUnknown) {
    m_seen_by_others[group.service] = group.seen;
  }
  for (const StreamKey stream : group.streams) {
    Insert({stream, group.service, group.version}, /*here=*/false, now);
  }
}

// A router that has just started can't tell whether a version disappeared a
// moment ago. It relies on the latest record for that, so starts are recorded
// until all records have expired that were written while there were several.
bool StreamVersions::IsRecording(const core::ServiceId& service,
                                 core::TimePoint now) const {
  return m_history.Within(service, 2 * m_options.lifetime, now).size() > 1;
}

// These started while the service had one version.
void StreamVersions::RecordStartedHere(const core::ServiceId& service) {
  for (const auto& [stream, known] : m_known) {
    if (known.started_here && known.service == service) {
      m_unwritten.emplace_back(known.at,
                               StreamStart{stream, service, known.version});
    }
  }
}

void StreamVersions::Insert(const StreamStart& start,
                            bool here,
                            core::TimePoint now) {
  const auto [found, added] = m_known.try_emplace(
      start.stream, Known{start.service, start.version, now, here});
  if (!added) {
    Known& known = found->second;
    known.ambiguous = known.ambiguous || known.version != start.version ||
                      known.service != start.service;
    known.started_here = known.started_here || here;
    known.at = now;
  }
  m_by_age.emplace_back(now, start.stream);
  Advance(now);
}

std::vector<StreamGroup> StreamVersions::TakeUnwritten(core::TimePoint now) {
  std::vector<StreamGroup> groups;
  size_t taken = 0;
  size_t bytes = 0;
  for (; !m_unwritten.empty() && taken < m_options.max_batch; ++taken) {
    const StreamStart& start = m_unwritten.front().second;
    StreamGroup* group = FindGroup(start, groups);
    bytes += kStreamBytes + (group == nullptr ? SizeOfGroup(start) : 0);
    if (taken != 0 && bytes > m_options.max_record_bytes) {
      break;
    }
    if (group == nullptr) {
      group = &groups.emplace_back();
      group->service = start.service;
      group->version = start.version;
    }
    group->streams.push_back(start.stream);
    m_unwritten.pop_front();
  }
  for (StreamGroup& group : groups) {
    group.seen = SeenOf(group.service, now);
  }
  return groups;
}

VersionsSeen StreamVersions::SeenOf(const core::ServiceId& service,
                                    core::TimePoint now) const {
  if (m_history.Within(service, m_options.lifetime, now).size() > 1) {
    return VersionsSeen::kSeveral;
  }
  return SoleVersion(service, now) ? VersionsSeen::kOne
                                   : VersionsSeen::kUnknown;
}

std::optional<core::UpstreamVersion> StreamVersions::OnlyRecentVersion(
    const core::ServiceId& service,
    core::TimePoint now) const {
  const auto versions = m_history.Within(service, m_options.lifetime, now);
  return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

bool StreamVersions::MayHaveHadOther(const core::ServiceId& service,
                                     const core::UpstreamVersion& version,
                                     core::TimePoint now) const {
  const auto stated = m_stated.Within(service, m_options.lifetime, now);
  const bool incomplete =
      m_incomplete_statement_at &&
      now - *m_incomplete_statement_at <= m_options.lifetime;
  if (stated.empty() && incomplete) {
    return true;
  }
  return std::any_of(stated.begin(), stated.end(),
                     [&version](const core::UpstreamVersion& other) {
                       return other != version;
                     });
}

std::optional<core::UpstreamVersion> StreamVersions::SoleVersion(
    const core::ServiceId& service,
    core::TimePoint now) const {
  const bool known =
      m_follows_table && m_history.Covers(service, m_options.lifetime, now);
  return known ? OnlyRecentVersion(service, now) : std::nullopt;
}

ResumeVersion StreamVersions::Resolve(StreamKey stream,
                                      const core::ServiceId& service,
                                      RecordsRead read,
                                      core::TimePoint now) const {
  const auto found = m_known.find(stream);
  if (found != m_known.end()) {
    const Known& known = found->second;
    if (known.ambiguous || known.service != service) {
      return {std::nullopt,
              "it started at another service or several versions"};
    }
    return {known.version, {}};
  }
  if (read == RecordsRead::kUnavailableHere) {
    return {std::nullopt, "only other routers can read its record"};
  }
  if (read == RecordsRead::kTableBehind) {
    return {std::nullopt,
            "it has no record, and this router's table of "
            "upstreams is not current"};
  }
  if (const auto sole = SoleVersion(service, now)) {
    return {sole, {}};
  }
  if (read == RecordsRead::kUnavailable) {
    return {std::nullopt, "its record can't be read"};
  }
  // This router started a short time ago.
  const auto seen = m_seen_by_others.find(service);
  const bool others_saw_several =
      seen != m_seen_by_others.end() && seen->second == VersionsSeen::kSeveral;
  const auto only = OnlyRecentVersion(service, now);
  // While a service has one version no stream is recorded. If that version is
  // replaced while all routers are down, only their last heartbeats tell.
  if (!only || !m_follows_table || others_saw_several ||
      MayHaveHadOther(service, *only, now)) {
    return {std::nullopt, "it has no record"};
  }
  return {only, {}};
}

void StreamVersions::Advance(core::TimePoint now) {
  while (!m_by_age.empty()) {
    const auto [at, stream] = m_by_age.front();
    const bool ended = now - at > m_options.lifetime;
    if (!ended && m_by_age.size() <= m_options.max_streams) {
      break;
    }
    const auto found = m_known.find(stream);
    if (found != m_known.end() && found->second.at == at) {
      m_known.erase(found);
    }
    m_by_age.pop_front();
  }
  while (!m_unwritten.empty() &&
         now - m_unwritten.front().first > m_options.lifetime) {
    m_unwritten.pop_front();
  }
}

}  // namespace coppervalve::entry
