#include "coppervalve/gateway/gateway.h"

#include <algorithm>  // max
#include <utility>    // move, exchange

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// A router that stands by has little to tell and nothing to decide soon: its
// reads and writes leave the store's rates to those that serve.
constexpr core::Duration kStandbyPause{800'000};
// Until its own first beat is back a router serves nobody, and that takes a few
// reads in a row: with the usual pauses between them a fleet that lost its
// power was not ready for another second.
constexpr core::Duration kStartingPause{30'000};
}  // namespace

void Gateway::MakeFollowers() {
  const auto hooks = [this](const std::string& topic) {
    TopicFollower::Hooks made;
    made.on_read = [this, topic](uint64_t /*next*/) { OnStoreAnswer(topic); };
    made.pause = [this](core::Duration usual) {
      return m_members.SelfActive() ? usual : std::max(usual, kStandbyPause);
    };
    made.on_failure = [this, topic](const core::Error& error,
                                    core::TimePoint began) {
      OnStoreFailure(topic, error, began);
    };
    return made;
  };
  const StoreLayout& layout = m_settings.layout;

  TopicFollower::Hooks of_configuration = hooks(layout.configuration_topic);
  // In force everywhere within seconds: who stands by reads as often.
  of_configuration.pause = {};
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
  of_upstreams.wanted = [this] { return m_table_readers.follows(); };
  of_upstreams.on_stopped = [this] { OnTableStopped(); };
  of_upstreams.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestUpstreams(records);
  };
  m_upstreams = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.upstream_topic, entry::UpstreamPlan()},
      m_store, m_random, std::move(of_upstreams));

  TopicFollower::Hooks of_beats = hooks(layout.beat_topic);
  of_beats.on_record = [this](const KeyedRecord& record) {
    OnBeatRecord(record);
  };
  of_beats.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestBeats(records);
  };
  of_beats.pause = [this, usual = of_beats.pause](core::Duration pause) {
    return m_first_beat_back ? usual(pause) : kStartingPause;
  };
  of_beats.on_read = [this, topic = layout.beat_topic](uint64_t next) {
    OnStoreAnswer(topic);
    m_beats_read = next;
    BeginBeatsIfAllRead();
  };
  m_beats = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.beat_topic, entry::BeatPlan()}, m_store,
      m_random, std::move(of_beats));
}

// Of a large table nearly every record does, and reading it whole costs most of
// what a router spends while nothing happens.
bool Gateway::OnlySaysItLives(const KeyedRecord& record) {
  std::string& last = m_upstream_documents[record.key];
  const entry::UpstreamRef known =
      m_directory.Find(core::UpstreamId(record.key));
  const bool same = known && !known->expired_at && m_dialect.same_upstream &&
                    m_dialect.same_upstream(last, record.value);
  last = record.value;
  return same;
}

void Gateway::OnUpstreamRecord(const KeyedRecord& record) {
  if (record.value.empty()) {
    m_upstream_documents.erase(record.key);
  } else if (OnlySaysItLives(record)) {
    return;
  }
  const core::UpstreamId id(record.key);
  const core::TimePoint now = net::BootNow();
  if (record.value.empty()) {
    const bool gone = m_directory.Remove(id, m_upstream_contact, now);
    if (gone) {
      m_pool.Forget(id);
    }
    Lifecycle(LogLine("upstream_entry_removed")
                  .Text("upstream", record.key)
                  .Flag("gone", gone));
    return;
  }
  const entry::UpstreamRecord read = ReadUpstreamRecord(record);
  const entry::DirectoryChange change = m_directory.OnRecord(read);
  if (change == entry::DirectoryChange::kNothing) {
    return;
  }
  const entry::RecordKind worth = entry::KindOf(read);
  const bool new_start = change == entry::DirectoryChange::kNewStart;
  if (new_start || worth != entry::RecordKind::kUsable) {
    m_pool.Forget(id);
  }
  if (worth == entry::RecordKind::kNone) {
    Lifecycle(LogLine("upstream_dropped").Text("upstream", record.key));
    return;
  }
  Lifecycle(LogLine("upstream_entry")
                .Text("upstream", record.key)
                .Text("service", read.entry->service.value())
                .Text("address", read.entry->address)
                .Flag("leaving", read.entry->leaving)
                .Flag("new_start", new_start));
}

entry::UpstreamRecord Gateway::ReadUpstreamRecord(const KeyedRecord& record) {
  entry::UpstreamRecord read{core::UpstreamId(record.key), std::nullopt,
                             net::BootNow()};
  core::Result<entry::UpstreamEntry> entry =
      m_dialect.read_upstream(record.key, record.value);
  if (core::IsOk(entry)) {
    read.entry = core::TakeValue(std::move(entry));
    return read;
  }
  Lifecycle(LogLine("upstream_entry_unreadable")
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
    m_pool.Forget(id);
  }
  if (!m_upstreams_known) {
    m_upstreams_known = true;
    // The first beat may have said that this router is not ready; left at that,
    // it stands by until its next one.
    m_writer->Hurry();
  }
  Lifecycle(LogLine("upstreams_read")
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

void Gateway::OnStoreAnswer(const std::string& topic) {
  const core::TimePoint now = net::BootNow();
  const bool was_up = m_contact.up();
  m_contact.OnAnswer(now);
  ContactOf(topic).OnAnswer(now);
  m_metrics.OnStoreCall(topic, true);
  if (!was_up) {
    Lifecycle(LogLine("store_regained").Text("topic", topic));
    m_writer->Hurry();
  }
}

void Gateway::OnStoreFailure(const std::string& topic,
                             const core::Error& error,
                             core::TimePoint began) {
  const bool was_up = m_contact.up();
  m_contact.OnFailure(began);
  ContactOf(topic).OnFailure(began);
  m_metrics.OnStoreCall(topic, false);
  if (was_up && !m_contact.up()) {
    Lifecycle(
        LogLine("store_lost").Text("topic", topic).Text("why", error.detail));
  }
}

}  // namespace coppervalve::gateway
