#include "coppervalve/gateway/gateway.h"

#include <algorithm>  // max
#include <utility>    // move, exchange

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// A standby router has little to report and no urgent decisions. Longer pauses
// leave the store's read and write rates to the active routers.
constexpr core::Duration kStandbyPause{800'000};
// A router serves no requests until its own first heartbeat has been read back,
// which takes several reads in sequence. With the usual pauses, a fleet that
// had lost power needed another second to become ready.
constexpr core::Duration kMinStartingPause{30'000};
// Share of the store's reads that routers use while all of them start.
constexpr double kStartingShareOfReads = 0.25;

}  // namespace

core::Duration Gateway::StartingPause() const {
  if (m_settings.store_reads_per_second <= 0) {
    return kMinStartingPause;
  }
  const double seconds =
      m_members.KnownCount() /
      (m_settings.store_reads_per_second * kStartingShareOfReads);
  return std::max(kMinStartingPause,
                  core::Duration(static_cast<int64_t>(seconds * 1e6)));
}

// Active routers serve most callers, so they read a configuration before the
// standbys.
entry::ReadLoad Gateway::ConfigurationLoad() const {
  const uint32_t readers = m_members.SelfActiveOrNext()
                               ? 2 * m_members.ActiveCount()
                               : m_members.KnownCount();
  return {readers, m_settings.store_read_bytes_per_second};
}

void Gateway::MakeFollowers() {
  const auto hooks = [this](const std::string& topic) {
    TopicFollower::Hooks made;
    made.on_read = [this, topic](const entry::ReadProgress& /*progress*/) {
      OnStoreAnswer(topic, true);
    };
    made.on_end = [this, topic](const entry::ReadProgress& progress) {
      OnStoreAnswer(topic, progress.next >= progress.end);
    };
    made.pause = [this](core::Duration usual) {
      return m_members.SelfActive() ? usual : std::max(usual, kStandbyPause);
    };
    made.on_failure = [this, topic](const core::Error& error,
                                    const StoreCall& failed) {
      OnStoreFailure(topic, error, failed);
    };
    return made;
  };
  const StoreLayout& layout = m_settings.layout;

  TopicFollower::Hooks of_configuration = hooks(layout.configuration_topic);
  // Standbys read the configuration as often as active routers, so that it
  // takes effect everywhere within seconds.
  of_configuration.pause = {};
  of_configuration.spread = [this](size_t bytes) {
    return entry::ReadInterval(ConfigurationLoad(), bytes);
  };
  // A router that knows of a newer version does not have the current one.
  of_configuration.on_read = [this, topic = layout.configuration_topic](
                                 const entry::ReadProgress& progress) {
    OnStoreAnswer(topic, progress.next >= progress.end);
    m_configuration_age.OnRead(progress);
  };
  of_configuration.on_end = of_configuration.on_read;
  of_configuration.on_record = [this](const KeyedRecord& record) {
    OnOperatorRecord(record);
  };
  of_configuration.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestOperatorRecords(records);
  };
  m_configuration = std::make_shared<TopicFollower>(
      m_io,
      FollowerOptions{layout.configuration_topic, entry::ConfigurationPlan()},
      m_store, m_random, std::move(of_configuration));

  TopicFollower::Hooks of_upstreams = hooks(layout.upstream_topic);
  of_upstreams.on_record = [this](const KeyedRecord& record) {
    OnUpstreamRecord(record);
  };
  of_upstreams.on_read = [this, topic = layout.upstream_topic](
                             const entry::ReadProgress& progress) {
    OnStoreAnswer(topic, true);
    m_table_age.OnRead(progress);
    m_table_barrier->OnRead(progress.next);
  };
  of_upstreams.on_page = [this](size_t listed) {
    m_upstreams_listed = std::max(m_upstreams_listed, listed);
    UpdateTableReading();
  };
  of_upstreams.needed = [this] { return m_table_readers.follows(); };
  of_upstreams.on_stopped = [this] { OnTableReadingStopped(); };
  of_upstreams.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestUpstreams(records);
  };
  m_upstreams = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.upstream_topic, entry::UpstreamPlan()},
      m_store, m_random, std::move(of_upstreams));

  TopicFollower::Hooks of_heartbeats = hooks(layout.heartbeat_topic);
  of_heartbeats.on_record = [this](const KeyedRecord& record) {
    OnHeartbeatRecord(record);
  };
  of_heartbeats.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestHeartbeats(records);
  };
  of_heartbeats.pause = [this,
                         usual = of_heartbeats.pause](core::Duration pause) {
    return m_first_heartbeat_read ? usual(pause) : StartingPause();
  };
  of_heartbeats.crowded = [this] {
    return HeartbeatListInterval() > core::Duration::zero();
  };
  of_heartbeats.needed = [this] { return m_follows_heartbeats; };
  of_heartbeats.on_stopped = [this] { OnHeartbeatReadingStopped(); };
  of_heartbeats.on_read = [this, topic = layout.heartbeat_topic](
                              const entry::ReadProgress& progress) {
    OnStoreAnswer(topic, true);
    m_heartbeats_read_to = progress.next;
    m_members.Refresh(net::BootNow());
    StartHeartbeatsIfCaughtUp();
  };
  m_heartbeats = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.heartbeat_topic, entry::HeartbeatPlan()},
      m_store, m_random, std::move(of_heartbeats));
}

// Nearly all records of a large upstream table only renew an entry. Parsing
// them in full would be most of the cost of an idle router.
bool Gateway::IsHeartbeatOnly(const KeyedRecord& record) {
  std::string& last = m_upstream_documents[record.key];
  const entry::UpstreamRef known =
      m_directory.Find(core::UpstreamId(record.key));
  const bool same = known && !known->expired_at &&
                    m_adapter.upstream_unchanged &&
                    m_adapter.upstream_unchanged(last, record.value);
  last = record.value;
  return same;
}

void Gateway::OnUpstreamRecord(const KeyedRecord& record) {
  if (record.value.empty()) {
    m_upstream_documents.erase(record.key);
  } else if (IsHeartbeatOnly(record)) {
    return;
  }
  const core::UpstreamId id(record.key);
  const core::TimePoint now = net::BootNow();
  if (record.value.empty()) {
    const bool gone = m_directory.Remove(id, m_upstream_contact, now);
    if (gone) {
      m_pool.CloseAll(id);
    }
    LogLifecycle(LogLine("upstream_entry_removed")
                     .Text("upstream", record.key)
                     .Flag("gone", gone));
    return;
  }
  const entry::UpstreamRecord read = ReadUpstreamRecord(record);
  const entry::DirectoryChange change = m_directory.OnRecord(read);
  if (!m_directory.Find(id)) {
    m_upstream_documents.erase(record.key);
  }
  if (change == entry::DirectoryChange::kNothing) {
    return;
  }
  const entry::RecordKind worth = entry::KindOf(read);
  const bool new_start = change == entry::DirectoryChange::kNewStart;
  if (new_start || worth != entry::RecordKind::kUsable) {
    m_pool.CloseAll(id);
  }
  if (worth == entry::RecordKind::kNone) {
    LogLifecycle(LogLine("upstream_dropped").Text("upstream", record.key));
    return;
  }
  LogLifecycle(LogLine("upstream_entry")
                   .Text("upstream", record.key)
                   .Text("service", read.entry->service.value())
                   .Text("address", read.entry->address)
                   .Text("version", read.entry->version.value())
                   .Flag("leaving", read.entry->leaving)
                   .Flag("new_start", new_start));
}

entry::UpstreamRecord Gateway::ReadUpstreamRecord(const KeyedRecord& record) {
  entry::UpstreamRecord read{core::UpstreamId(record.key), std::nullopt,
                             net::BootNow()};
  core::Result<entry::UpstreamEntry> entry =
      m_adapter.read_upstream(record.key, record.value);
  if (core::IsOk(entry)) {
    read.entry = core::TakeValue(std::move(entry));
    return read;
  }
  LogLifecycle(LogLine("upstream_entry_unreadable")
                   .Text("upstream", record.key)
                   .Text("why", core::ToString(core::Failure(entry))));
  return read;
}

void Gateway::OnNewestUpstreams(const std::vector<KeyedRecord>& records) {
  std::vector<entry::UpstreamRecord> read;
  for (const KeyedRecord& record : records) {
    if (!record.value.empty()) {
      read.push_back(ReadUpstreamRecord(record));
    }
  }
  for (const core::UpstreamId& id :
       m_directory.ReplaceAll(read, m_upstream_contact, net::BootNow())) {
    m_pool.CloseAll(id);
  }
  if (!m_upstreams_known) {
    m_upstreams_known = true;
    // The first heartbeat may have said that this router is not ready; without
    // a correction it would stay a standby until the next one.
    m_heartbeat_writer->ExpediteSpread();
  }
  LogLifecycle(LogLine("upstreams_read")
                   .Number("listed", static_cast<int64_t>(read.size()))
                   .Number("kept", static_cast<int64_t>(m_directory.size())));
}

entry::StoreContact& Gateway::ContactOf(const std::string& topic) {
  if (topic == m_settings.layout.configuration_topic) {
    return m_config_contact;
  }
  return topic == m_settings.layout.upstream_topic ? m_upstream_contact
                                                   : m_beat_contact;
}

void Gateway::OnStoreAnswer(const std::string& topic, bool caught_up) {
  const core::TimePoint now = net::BootNow();
  const bool was_up = m_contact.up();
  const core::Duration silent = m_contact.SilentFor(now);
  m_contact.OnAnswer(now);
  if (caught_up) {
    ContactOf(topic).OnAnswer(now);
  }
  m_metrics.OnStoreCall(topic, true);
  if (!was_up) {
    LogLine line = LogLine("store_regained").Text("topic", topic);
    if (silent != core::Duration::max()) {
      line.Millis("silent_ms", silent);
    }
    LogLifecycle(std::move(line));
    m_heartbeat_writer->ExpediteSpread();
  }
}

void Gateway::OnStoreFailure(const std::string& topic,
                             const core::Error& error,
                             const StoreCall& failed) {
  const bool was_up = m_contact.up();
  m_contact.OnFailure(failed.began);
  ContactOf(topic).OnFailure(failed.began);
  m_metrics.OnStoreCall(topic, false);
  LogLifecycle(
      LogLine("store_read_failed")
          .Text("topic", topic)
          .Text("call", failed.kind)
          .Text("why", error.detail)
          .Millis("after_ms", net::BootNow() - failed.began)
          .Flag("others_answered", m_contact.AnsweredSince(failed.began)));
  if (was_up && !m_contact.up()) {
    LogLifecycle(
        LogLine("store_lost").Text("topic", topic).Text("why", error.detail));
  }
}

}  // namespace coppervalve::gateway
