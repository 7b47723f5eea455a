// Records at which software version streams started, and finds out at which one
// a stream may be resumed.
#include <algorithm>  // max
#include <chrono>     // seconds, system_clock
#include <memory>     // make_shared
#include <utility>    // move

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"
#include "retry_after.h"

namespace coppervalve::gateway {

namespace {

// Routers notice an outage of the store at different times, up to this much
// apart.
constexpr core::Duration kOutageNoticeTime{3'000'000};
// A stream that broke off at a running router may be resumed before its record
// is written.
constexpr core::Duration kRecordDelay{150'000};
// Longer than a stream lasts, by more than clocks of VMs may differ.
constexpr std::chrono::seconds kStatementLifetime{60};

int64_t UnixSeconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

}  // namespace

void Gateway::MakeStreamRecords() {
  const std::string& topic = m_settings.layout.stream_topic;
  m_stream_writer = std::make_shared<StreamRecordWriter>(
      m_io, m_store, topic, m_settings.router.value(), m_stream_versions,
      StreamRecordWriter::Hooks{
          [this] { return entry::StreamRecordInterval(Limits()); },
          [this](bool written) {
            m_metrics.OnStoreCall("stream_write", written);
          },
          [this](size_t bytes) {
            LogLifecycle(LogLine("stream_record_refused")
                             .Number("bytes", static_cast<int64_t>(bytes)));
          }});
  m_stream_reader = std::make_shared<StreamRecordReader>(
      m_store, topic,
      StreamRecordReader::Hooks{
          [this](const entry::StreamGroup& group) {
            m_stream_versions.OnRecord(group, net::BootNow());
          },
          [this](bool answered) {
            m_metrics.OnStoreCall("stream_read", answered);
          }});
  m_table_barrier = std::make_shared<ReadBarrier>(
      m_io, m_store, m_settings.layout.upstream_topic,
      ReadBarrier::Hooks{[this] { m_upstreams->Expedite(); },
                         [this](bool answered) {
                           m_metrics.OnStoreCall("upstream_end", answered);
                         }});
}

void Gateway::UpdateStreamVersions(core::TimePoint now) {
  m_stream_versions.Advance(now);
  if (!m_upstreams_known) {
    return;
  }
  for (const auto& [service, counts] : m_directory.versions()) {
    std::vector<core::UpstreamVersion> versions;
    for (const auto& [version, count] : counts) {
      versions.push_back(version);
    }
    m_stream_versions.OnVersions(service, versions, now);
  }
  m_stream_writer->Schedule();
}

void Gateway::OnStreamStart(const entry::StreamStart& start) {
  const core::TimePoint now = net::BootNow();
  UpdateStreamVersions(now);
  m_stream_versions.OnStart(start, now);
  m_stream_writer->Schedule();
}

void Gateway::StateVersions(v1::RouterBeat& beat) const {
  if (!m_upstreams_known) {
    return;
  }
  entry::StateVersions(
      m_directory.versions(),
      [this](const core::ServiceId& service) {
        return m_in_force && m_in_force->FindService(service) != nullptr;
      },
      UnixSeconds(), beat);
}

// The newest heartbeat of a router that was removed stays in the store.
void Gateway::OnStatedVersions(const v1::RouterBeat& beat) {
  if (UnixSeconds() - beat.versions_listed_at_s() >
      kStatementLifetime.count()) {
    return;
  }
  const core::TimePoint now = net::BootNow();
  if (beat.versions_incomplete()) {
    m_stream_versions.OnIncompleteStatement(now);
  }
  for (const v1::ServiceVersions& stated : beat.service_versions()) {
    for (const std::string& version : stated.versions()) {
      m_stream_versions.OnStated(core::ServiceId(stated.service()),
                                 core::UpstreamVersion(version), now);
    }
  }
}

// While no router reads the store, none has learned of a version since this one
// read the table for the last time.
entry::RecordsRead Gateway::UnreadRecords(core::TimePoint now) const {
  const core::TimePoint last_read = now - m_upstream_contact.SilentFor(now);
  const bool out_for_all =
      m_peers.CountReachingStore(now) == 0 &&
      m_peers.NoneReachesStoreSince(last_read + kOutageNoticeTime, now);
  return out_for_all ? entry::RecordsRead::kUnavailable
                     : entry::RecordsRead::kUnavailableHere;
}

bool Gateway::KnowsAllVersions(bool table_behind, core::TimePoint now) const {
  return !table_behind ||
         UnreadRecords(now) == entry::RecordsRead::kUnavailable;
}

StreamResumption Gateway::Resumption(entry::StreamKey stream,
                                     const core::ServiceId& service,
                                     entry::RecordsRead read) const {
  StreamResumption resumption;
  resumption.version =
      m_stream_versions.Resolve(stream, service, read, net::BootNow());
  resumption.ask_peers = !m_upstreams_known && !m_stream_versions.Knows(stream);
  switch (read) {
    case entry::RecordsRead::kToTheEnd:
      resumption.retry_after = kRetryAfterStoreUpdate;
      break;
    case entry::RecordsRead::kUnavailable:
      resumption.retry_after = kRetryAfterOutage;
      break;
    case entry::RecordsRead::kTableBehind:
    case entry::RecordsRead::kUnavailableHere:
      resumption.retry_after = kRetryElsewhere;
      break;
  }
  return resumption;
}

// A stream without a record may have started, at another router, at a version
// that joined a moment ago. What follows from the table holds only if the table
// was read after the caller's request arrived.
void Gateway::ReadStreamVersion(
    entry::StreamKey stream,
    const core::ServiceId& service,
    std::function<void(entry::RecordsRead, const StreamResumption&)> on_read) {
  m_stream_reader->Read(
      [this, stream, service, on_read = std::move(on_read)](bool complete) {
        const auto read = complete ? entry::RecordsRead::kToTheEnd
                                   : UnreadRecords(net::BootNow());
        const StreamResumption resumption = Resumption(stream, service, read);
        const bool inferred =
            resumption.version.version && !m_stream_versions.Knows(stream);
        if (!complete || !inferred) {
          on_read(read, resumption);
          return;
        }
        m_table_barrier->Wait([this, stream, service, on_read](bool passed) {
          UpdateStreamVersions(net::BootNow());
          const auto now_read = passed ? entry::RecordsRead::kToTheEnd
                                       : entry::RecordsRead::kTableBehind;
          on_read(now_read, Resumption(stream, service, now_read));
        });
      });
}

void Gateway::ResolveStream(
    entry::StreamKey stream,
    const core::ServiceId& service,
    std::function<void(const StreamResumption&)> on_resolved) {
  const core::TimePoint now = net::BootNow();
  UpdateStreamVersions(now);
  // The last heartbeats of routers tell which versions there were before this
  // one started.
  const bool listed = m_heartbeat_writer->started();
  if (m_stream_versions.Knows(stream) || !m_contact.up() || !listed) {
    on_resolved(Resumption(stream, service, UnreadRecords(now)));
    return;
  }
  ReadStreamVersion(
      stream, service,
      [this, stream, service, on_resolved = std::move(on_resolved)](
          entry::RecordsRead read, const StreamResumption& first) {
        if (read != entry::RecordsRead::kToTheEnd || first.version.version ||
            first.ask_peers) {
          on_resolved(first);
          return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
        timer->expires_after(
            std::max(kRecordDelay, entry::StreamRecordInterval(Limits())));
        timer->async_wait([this, alive = std::weak_ptr(m_stream_reader), timer,
                           stream, service,
                           on_resolved](const boost::system::error_code& code) {
          if (code || alive.expired()) {
            return;
          }
          ReadStreamVersion(stream, service,
                            [on_resolved](entry::RecordsRead /*read*/,
                                          const StreamResumption& second) {
                              on_resolved(second);
                            });
        });
      });
}

}  // namespace coppervalve::gateway
