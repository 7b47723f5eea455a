#include "coppervalve/gateway/stream_record_writer.h"

#include <algorithm>  // max
#include <utility>    // move

#include "coppervalve/net/clock.h"
#include "coppervalve/streams.pb.h"

namespace coppervalve::gateway {

namespace {

constexpr core::Duration kWriteTimeout{800'000};
constexpr core::Duration kRetryDelay{200'000};

entry::VersionsSeen SeenIn(const v1::StreamGroup& group) {
  switch (group.seen()) {
    case v1::VERSIONS_SEEN_ONE:
      return entry::VersionsSeen::kOne;
    case v1::VERSIONS_SEEN_SEVERAL:
      return entry::VersionsSeen::kSeveral;
    default:
      return entry::VersionsSeen::kUnknown;
  }
}

}  // namespace

std::string EncodeStreamRecord(const std::vector<entry::StreamGroup>& groups) {
  v1::StreamRecord record;
  for (const entry::StreamGroup& group : groups) {
    v1::StreamGroup& encoded = *record.add_groups();
    encoded.set_service(group.service.value());
    encoded.set_version(group.version.value());
    encoded.set_seen(static_cast<v1::VersionsSeen>(group.seen));
    for (const entry::StreamKey stream : group.streams) {
      encoded.add_streams(stream.value());
    }
  }
  return record.SerializeAsString();
}

std::vector<entry::StreamGroup> DecodeStreamRecord(const std::string& text) {
  std::vector<entry::StreamGroup> groups;
  v1::StreamRecord record;
  if (!record.ParseFromString(text)) {
    return groups;
  }
  for (const v1::StreamGroup& encoded : record.groups()) {
    entry::StreamGroup& group = groups.emplace_back();
    group.service = core::ServiceId(encoded.service());
    group.version = core::UpstreamVersion(encoded.version());
    group.seen = SeenIn(encoded);
    for (const uint64_t stream : encoded.streams()) {
      group.streams.emplace_back(stream);
    }
  }
  return groups;
}

StreamRecordWriter::StreamRecordWriter(boost::asio::io_context& io,
                                       const KeyedStore& store,
                                       std::string topic,
                                       std::string router,
                                       entry::StreamVersions& versions,
                                       Hooks hooks)
    : m_store(store),
      m_topic(std::move(topic)),
      m_router(std::move(router)),
      m_versions(versions),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

void StreamRecordWriter::Start(uint64_t epoch) {
  m_epoch = epoch;
  Schedule();
}

// The first starts after a pause are written at once: a router that crashes
// takes with it what is not written.
void StreamRecordWriter::Schedule() {
  if (m_epoch == 0 || m_busy || !m_versions.HasUnwritten()) {
    return;
  }
  m_busy = true;
  After(m_next_write - net::BootNow(), &StreamRecordWriter::WriteNext);
}

void StreamRecordWriter::After(core::Duration delay,
                               void (StreamRecordWriter::*step)()) {
  m_timer.expires_after(std::max(delay, core::Duration::zero()));
  m_timer.async_wait(
      [weak = weak_from_this(), step](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self) {
          (*self.*step)();
        }
      });
}

void StreamRecordWriter::WriteNext() {
  const core::TimePoint now = net::BootNow();
  const auto groups = m_versions.TakeUnwritten(now);
  if (groups.empty()) {
    m_busy = false;
    return;
  }
  m_next_write = now + m_hooks.interval();
  m_record = EncodeStreamRecord(groups);
  ++m_sequence;
  Append();
}

void StreamRecordWriter::Append() {
  m_store.append(
      m_topic, {m_router, m_record}, {m_router, m_epoch, m_sequence},
      kWriteTimeout,
      [weak = weak_from_this()](const core::Result<WriteReceipt>& result) {
        if (const auto self = weak.lock()) {
          self->OnAppended(result);
        }
      });
}

void StreamRecordWriter::OnAppended(const core::Result<WriteReceipt>& result) {
  m_hooks.on_call(core::IsOk(result));
  if (core::IsOk(result)) {
    m_busy = false;
    Schedule();
    return;
  }
  // A newer start of this router exists.
  if (core::Failure(result).id == core::ErrorId::kRetiredInLog) {
    return;
  }
  // Streams without a record are resumed only where that is certain to be
  // right.
  if (core::Failure(result).id == core::ErrorId::kLogRecordRefused) {
    m_hooks.on_refused(m_record.size());
    --m_sequence;
    m_busy = false;
    Schedule();
    return;
  }
  After(kRetryDelay, &StreamRecordWriter::Append);
}

}  // namespace coppervalve::gateway
