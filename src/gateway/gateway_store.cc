#include "coppervalve/entry/beat_reader.h"
#include "coppervalve/entry/succession.h"
#include "coppervalve/gateway/gateway.h"

#include <algorithm>  // max
#include <utility>    // move, exchange

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr core::Duration kConfigurationWait{1'000'000};
constexpr core::Duration kUpstreamPause{300'000};
constexpr core::Duration kBeatPause{250'000};
// What a process that dies can have spent is known to within a beat.
constexpr core::Duration kBeatPeriod{600'000};
// Beats may take this part of the writes that the store allows the fleet.
constexpr double kBeatShareOfWrites = 0.4;
// A router that stands by has little to tell and nothing to decide soon: its
// reads and writes leave the store's rates to those that serve.
constexpr core::Duration kStandbyPause{800'000};
constexpr int kStandbyPeriods = 4;
// A third of what a core and a link were measured to take: bursts need room.
constexpr double kRequestsPerCore = 500;
constexpr double kRequestsPerMegabit = 2.5;
constexpr double kUnsaidCapacity = 1'000;

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
  of_configuration.on_record = [this](const KeyedRecord& record) {
    if (record.key == m_settings.layout.configuration_key &&
        !record.value.empty()) {
      Configure(record.value);
    }
  };
  of_configuration.on_newest =
      [of_configuration](const std::vector<KeyedRecord>& records) {
        for (const KeyedRecord& record : records) {
          of_configuration.on_record(record);
        }
      };
  m_configuration = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.configuration_topic, {}, kConfigurationWait},
      m_store, m_random, std::move(of_configuration));

  TopicFollower::Hooks of_upstreams = hooks(layout.upstream_topic);
  of_upstreams.on_record = [this](const KeyedRecord& record) {
    OnUpstreamRecord(record);
  };
  of_upstreams.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestUpstreams(records);
  };
  m_upstreams = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.upstream_topic, kUpstreamPause}, m_store,
      m_random, std::move(of_upstreams));

  TopicFollower::Hooks of_beats = hooks(layout.beat_topic);
  of_beats.on_record = [this](const KeyedRecord& record) {
    OnBeatRecord(record);
  };
  of_beats.on_newest = [this](const std::vector<KeyedRecord>& records) {
    OnNewestBeats(records);
  };
  of_beats.on_read = [this, topic = layout.beat_topic](uint64_t next) {
    OnStoreAnswer(topic);
    m_beats_read = next;
    BeginBeatsIfAllRead();
  };
  m_beats = std::make_shared<TopicFollower>(
      m_io, FollowerOptions{layout.beat_topic, kBeatPause}, m_store, m_random,
      std::move(of_beats));
}

void Gateway::MakeBeatWriter() {
  BeatWriter::Hooks hooks;
  hooks.compose = [this](v1::RouterBeat& beat) { ComposeBeat(beat); };
  hooks.period = [this] { return BeatPeriod(); };
  hooks.on_fenced = [this](uint64_t epoch, uint64_t end) {
    m_fenced_at = end;
    ShareLoads(epoch);
    BeginBeatsIfAllRead();
    Lifecycle(LogLine("epoch_announced")
                  .Number("epoch", static_cast<int64_t>(epoch))
                  .Number("log_end", static_cast<int64_t>(end)));
  };
  hooks.on_written = [this](const v1::RouterBeat& beat) {
    m_metrics.OnStoreCall("beat_write", true);
    m_book.OnWritten(beat.sequence());
    if (!m_waiting.empty() || !m_first_beat_back) {
      m_beats->Hurry();
    }
    m_last_claim_written = beat.closing();
    GrantsChanged();
  };
  hooks.on_failure = [this](const core::Error& error) {
    m_metrics.OnStoreCall("beat_write", false);
    Lifecycle(LogLine("beat_not_written").Text("why", error.detail));
  };
  hooks.on_retired = [this] {
    Lifecycle(LogLine("retired").Text("why", "a newer start exists"));
  };
  m_writer = std::make_shared<BeatWriter>(
      m_io,
      BeatOptions{m_settings.layout.beat_topic, m_settings.router.value()},
      m_store, m_random, std::move(hooks));
}

// More routers beat more slowly: the store's rate is for the whole fleet.
core::Duration Gateway::BeatPeriod() const {
  const double rate = m_settings.store_writes_per_second * kBeatShareOfWrites;
  const double seconds = m_members.Live() / std::max(rate, 1.0);
  const core::Duration own =
      m_members.SelfActive() ? kBeatPeriod : kBeatPeriod * kStandbyPeriods;
  return std::max(own, core::Duration(static_cast<int64_t>(seconds * 1e6)));
}

void Gateway::Configure(const std::string& document) {
  core::Result<entry::Configuration> read =
      m_dialect.read_configuration(document);
  if (!core::IsOk(read)) {
    Lifecycle(LogLine("configuration_unreadable")
                  .Text("why", core::ToString(core::Failure(read))));
    return;
  }
  const core::ConfigVersion version = core::Value(read).version;
  // A late or repeated record must not bring an older one back.
  if (m_in_force && version <= m_in_force->version()) {
    return;
  }
  m_in_force =
      std::make_shared<const entry::InForce>(core::TakeValue(std::move(read)));
  m_book.OnConfiguration(m_in_force->configuration());
  Lifecycle(
      LogLine("configuration_in_force")
          .Number("version", static_cast<int64_t>(version.value()))
          .Number("routes", static_cast<int64_t>(
                                m_in_force->configuration().routes.size())));
  // Totals may have grown, and the first ones bring the first ceilings.
  m_writer->Hurry();
}

void Gateway::OnUpstreamRecord(const KeyedRecord& record) {
  const core::UpstreamId id(record.key);
  const core::TimePoint now = net::BootNow();
  if (record.value.empty()) {
    const bool gone = m_directory.Remove(id, m_contact, now);
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
  const entry::RecordWorth worth = entry::WorthOf(read);
  const bool new_start = change == entry::DirectoryChange::kNewStart;
  if (new_start || worth != entry::RecordWorth::kUsable) {
    m_pool.Forget(id);
  }
  if (worth == entry::RecordWorth::kNone) {
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
  entry::UpstreamRecord read{core::UpstreamId(record.key), std::nullopt};
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
       m_directory.ReplaceAll(read, m_contact, net::BootNow())) {
    m_pool.Forget(id);
  }
  m_upstreams_known = true;
  Lifecycle(LogLine("upstreams_read")
                .Number("listed", static_cast<int64_t>(read.size()))
                .Number("kept", static_cast<int64_t>(m_directory.size())));
}

std::optional<v1::RouterBeat> Gateway::ReadBeatRecord(
    const KeyedRecord& record) {
  core::Result<v1::RouterBeat> read = entry::ReadBeat(record.value);
  if (core::IsOk(read)) {
    return core::TakeValue(std::move(read));
  }
  Lifecycle(LogLine("beat_unreadable")
                .Text("router", record.key)
                .Text("why", core::Failure(read).detail));
  return std::nullopt;
}

void Gateway::OnNewestBeats(const std::vector<KeyedRecord>& records) {
  uint64_t last_epoch = 0;
  for (const KeyedRecord& record : records) {
    const std::optional<v1::RouterBeat> read = ReadBeatRecord(record);
    if (!read) {
      continue;
    }
    const v1::RouterBeat& beat = *read;
    const core::RouterId router(record.key);
    m_members.OnBeat(router, beat, net::BootNow());
    if (router != m_settings.router) {
      m_book.OnOtherBeat(router, beat, net::BootNow());
      continue;
    }
    // No grant is taken from here: the list is not a snapshot, and a record
    // of another router that came before ours may be missing in it.
    last_epoch = beat.epoch();
    m_own_record = beat;
  }
  if (m_writer->epoch() == 0) {
    m_writer->Start(last_epoch);
  }
}

void Gateway::OnBeatRecord(const KeyedRecord& record) {
  const std::optional<v1::RouterBeat> read = ReadBeatRecord(record);
  if (!read) {
    return;
  }
  const v1::RouterBeat& beat = *read;
  const core::RouterId router(record.key);
  m_members.OnBeat(router, beat, net::BootNow());
  if (router != m_settings.router) {
    m_book.OnOtherBeat(router, beat, net::BootNow());
    return;
  }
  if (beat.epoch() != m_writer->epoch()) {
    m_own_record = beat;
    return;
  }
  m_book.OnOwnBeat(beat);
  m_first_beat_back = true;
  GrantsChanged();
}

// Once everything below the announced epoch is read, no record of an earlier
// start can follow: what it claimed last is final and counts as used.
void Gateway::BeginBeatsIfAllRead() {
  if (!m_fenced_at || m_beats_read < *m_fenced_at) {
    return;
  }
  m_fenced_at.reset();
  entry::Succession succession;
  succession.boot = m_boot;
  succession.alone_since = m_alone_since;
  const bool held_back = entry::HeldBack(m_own_record, succession);
  int64_t claimed = 0;
  int64_t spent = 0;
  int64_t reserved = 0;
  for (const v1::AccountClaim& claim : m_own_record.claims()) {
    claimed += claim.ceiling();
    spent += claim.spent();
    reserved += claim.reserve();
  }
  Lifecycle(LogLine("predecessor")
                .Number("epoch", static_cast<int64_t>(m_own_record.epoch()))
                .Number("claimed", claimed)
                .Number("spent", spent)
                .Number("held_back", held_back ? reserved : 0));
  m_book.OnPredecessor(m_own_record, held_back);
  m_writer->BeginBeats();
}

void Gateway::OnStoreAnswer(const std::string& topic) {
  const core::TimePoint now = net::BootNow();
  const bool was_up = m_contact.up();
  m_contact.OnAnswer(now);
  if (topic == m_settings.layout.configuration_topic) {
    m_config_contact.OnAnswer(now);
  }
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
  if (topic == m_settings.layout.configuration_topic) {
    m_config_contact.OnFailure(began);
  }
  m_metrics.OnStoreCall(topic, false);
  if (was_up && !m_contact.up()) {
    Lifecycle(
        LogLine("store_lost").Text("topic", topic).Text("why", error.detail));
  }
}

void Gateway::ComposeBeat(v1::RouterBeat& beat) {
  beat.set_caller_address(m_settings.caller_address);
  beat.set_load_address(m_settings.load_address);
  beat.set_failure_domain(m_settings.failure_domain.value());
  // Ready as soon as this very beat is back: it brings the first ceilings.
  beat.set_ready(m_in_force && m_upstreams_known && !m_leaving_since);
  beat.set_leaving(m_leaving_since.has_value());
  beat.set_closing(m_closing_since.has_value());
  const core::TimePoint now = net::BootNow();
  beat.set_capacity(Capacity());
  beat.set_load(m_arrivals.PerSecond(now));
  entry::ClaimContext context;
  context.routers = m_members.Active();
  context.standbys =
      m_members.Live() - std::min(m_members.Live(), context.routers);
  // Whether it will be among them isn't known before the others know of it.
  context.active = m_members.SelfActive() || !m_first_beat_back;
  context.leaving = beat.leaving();
  context.closing = beat.closing();
  if (m_alone_since && !m_boot.empty() &&
      m_policy.book.held_back > core::Duration::zero()) {
    beat.set_boot(m_boot);
    beat.set_written_at(now.time_since_epoch().count());
    const core::TimePoint not_before =
        now + m_policy.book.held_back + BeatPeriod() - kBeatPeriod;
    beat.set_not_before(not_before.time_since_epoch().count());
  }
  m_book.WriteClaims(beat, context, now);
}

// Estimates from the size of the VM: what a request costs is much the same
// everywhere, and the rates leave most of the VM free for bursts.
double Gateway::Capacity() const {
  const double by_processor =
      m_settings.processor_cores > 0
          ? m_settings.processor_cores * kRequestsPerCore
          : kUnsaidCapacity;
  const double by_link =
      m_settings.link_megabits_per_second > 0
          ? m_settings.link_megabits_per_second * kRequestsPerMegabit
          : kUnsaidCapacity;
  return std::min(by_processor, by_link);
}

void Gateway::GrantsChanged() {
  // Those that are still short wait again, in a new list.
  const std::vector<std::function<void()>> waiting =
      std::exchange(m_waiting, {});
  for (const auto& on_grant : waiting) {
    on_grant();
  }
}

}  // namespace coppervalve::gateway
