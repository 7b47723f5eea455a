#include "coppervalve/gateway/gateway.h"

#include <unistd.h>  // STDOUT_FILENO

#include <algorithm>  // max
#include <chrono>     // milliseconds
#include <memory>     // make_shared
#include <pcg_random.hpp>
#include <random>   // random_device
#include <utility>  // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kTick{200};
// A configuration counts as the newest while its topic answered this recently.
constexpr core::Duration kFreshFor{1'900'000};
constexpr core::Duration kConfigurationWait{1'000'000};
constexpr core::Duration kUpstreamPause{300'000};
constexpr core::Duration kBeatPause{250'000};
constexpr core::Duration kBeatPeriod{1'000'000};
// Beats may take this part of the writes that the store allows the fleet.
constexpr double kBeatShareOfWrites = 0.4;
constexpr core::Duration kLoadLifetime{800'000};
constexpr core::Duration kRouterSilence{3'500'000};
// How long callers may still come after the address list stopped naming us.
constexpr core::Duration kLeaveIdleAfter{3'000'000};
constexpr core::Duration kEndAheadOfGrace{900'000};
constexpr core::Duration kEarlyArrival{2'500'000};
constexpr core::Duration kClosingTime{400'000};
constexpr core::Duration kQuietBeforeEnd{1'500'000};

routing::RandomHook SeededRandom() {
  constexpr unsigned kBitsOfSeed = 32;
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  const auto generator = std::make_shared<pcg64>((high << kBitsOfSeed) | low);
  return [generator] { return (*generator)(); };
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io,
                 GatewaySettings settings,
                 Dialect dialect,
                 KeyedStore store)
    : m_io(io),
      m_settings(std::move(settings)),
      m_dialect(std::move(dialect)),
      m_store(std::move(store)),
      m_random(SeededRandom()),
      m_log(io, STDOUT_FILENO, {}),
      m_directory({}),
      m_peer_loads(kLoadLifetime),
      m_placer({}, m_settings.failure_domain, m_peer_loads, m_random),
      m_retries(m_settings.retries),
      m_book({}),
      m_members(m_settings.router, kRouterSilence),
      m_pool(io),
      m_tick(io) {
  m_context.emplace(ExchangeContext{
      m_io, m_dialect, m_directory, m_placer, m_retries, m_book, m_members,
      m_contact, m_pool, m_log, m_metrics, m_random, [this] { return View(); },
      [this](std::function<void()> on_grant) {
        m_waiting.push_back(std::move(on_grant));
        m_writer->Hurry();
      },
      [this] { return TimeToStop(); }});
}

Gateway::~Gateway() = default;

core::Status Gateway::Start() {
  Lifecycle(LogLine("started")
                .Text("router", m_settings.router.value())
                .Text("failure_domain", m_settings.failure_domain.value())
                .Text("callers", m_settings.caller_address));
  core::Status listening = MakeListeners();
  if (!core::IsOk(listening)) {
    return listening;
  }
  MakeBeatWriter();
  MakeFollowers();
  m_configuration->Start();
  m_upstreams->Start();
  m_beats->Start();
  Tick();
  return core::Ok();
}

void Gateway::Lifecycle(LogLine line) {
  m_log.Write(LineKind::kLifecycle, std::move(line));
}

void Gateway::MakeFollowers() {
  const auto hooks = [this](const std::string& topic) {
    TopicFollower::Hooks made;
    made.on_read = [this, topic](uint64_t /*next*/) { OnStoreAnswer(topic); };
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
  // More routers beat more slowly: the store's rate is for the whole fleet.
  hooks.period = [this] {
    const double rate = m_settings.store_writes_per_second * kBeatShareOfWrites;
    const double seconds = m_members.Live() / std::max(rate, 1.0);
    return std::max(kBeatPeriod,
                    core::Duration(static_cast<int64_t>(seconds * 1e6)));
  };
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
    if (!m_waiting.empty() || !m_first_beat_back) {
      m_beats->Hurry();
    }
    m_last_claim_written = beat.closing();
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

void Gateway::ShareLoads(uint64_t epoch) {
  if (m_settings.load_address.empty() || m_loads) {
    return;
  }
  LoadExchange::Hooks hooks;
  hooks.peers = [this] { return m_members.LoadAddresses(); };
  hooks.compose = [this](v1::LoadReport& report) {
    for (const auto& [id, upstream] : m_directory.all()) {
      if (upstream->in_flight == 0) {
        continue;
      }
      v1::UpstreamLoad* load = report.add_loads();
      load->set_upstream(upstream->load_key);
      load->set_in_flight(upstream->in_flight);
      load->set_in_prefill(
          static_cast<uint32_t>(std::max(upstream->in_prefill, 0.0)));
    }
  };
  hooks.on_report = [this](const v1::LoadReport& report) {
    m_peer_loads.OnReport(report, net::BootNow());
  };
  m_loads = std::make_unique<LoadExchange>(m_io, m_settings.router.value(),
                                           std::move(hooks));
  const core::Status started = m_loads->Start(m_settings.load_address, epoch);
  if (!core::IsOk(started)) {
    Lifecycle(LogLine("loads_not_shared")
                  .Text("why", core::ToString(core::Failure(started))));
  }
}

CallerConnection::Hooks Gateway::CallerHooks(
    std::function<void(const CallerRef&, CallerRequest)> on_request) {
  CallerConnection::Hooks hooks;
  hooks.on_request = std::move(on_request);
  hooks.on_bad_request = [this](const core::Error& error) {
    const core::ErrorInfo& info = core::Describe(error.id);
    m_metrics.OnRequest(entry::RouteKind::kAtMostOnce, info.name);
    m_log.Write(LineKind::kTrouble, LogLine("request")
                                        .Text("id", "")
                                        .Text("outcome", info.name)
                                        .Number("status", info.http_status)
                                        .Text("why", error.detail));
  };
  hooks.bounds = [this] {
    return m_in_force ? m_in_force->configuration().bounds
                      : entry::CallerBounds{};
  };
  hooks.leaving = [this] { return m_leaving_since.has_value(); };
  hooks.on_closed = [] {};
  return hooks;
}

core::Status Gateway::MakeListeners() {
  struct Planned {
    const std::string& address;
    std::function<void(const CallerRef&, CallerRequest)> on_request;
  };
  const std::vector<Planned> planned = {
      {m_settings.caller_address,
       [this](const CallerRef& caller, CallerRequest request) {
         m_last_request = request.arrived;
         std::make_shared<Exchange>(*m_context, caller, std::move(request))
             ->Start();
       }},
      {m_settings.readiness_address,
       [this](const CallerRef& caller, const CallerRequest& request) {
         caller->Answer(m_dialect.readiness(request.head, Ready()));
       }},
      {m_settings.directory_address,
       [this](const CallerRef& caller, const CallerRequest& request) {
         caller->Answer(m_dialect.addresses(request.head, m_members.Addresses(),
                                            m_settings.address_lifetime));
       }},
      {m_settings.metrics_address,
       [this](const CallerRef& caller, const CallerRequest& /*request*/) {
         ServeMetrics(caller);
       }}};
  for (const Planned& plan : planned) {
    if (plan.address.empty()) {
      continue;
    }
    auto listener =
        std::make_shared<Listener>(m_io, CallerHooks(plan.on_request));
    core::Status status = listener->Listen(plan.address);
    if (!core::IsOk(status)) {
      return status;
    }
    m_listeners.push_back(std::move(listener));
  }
  m_callers = m_listeners.front();
  return core::Ok();
}

void Gateway::ServeMetrics(const CallerRef& caller) {
  const core::TimePoint now = net::BootNow();
  ProcessFigures figures;
  if (m_in_force) {
    figures.version = m_in_force->version();
    figures.configuration_age = m_config_contact.SilentFor(now);
    for (const entry::Account& account : m_in_force->configuration().accounts) {
      m_metrics.OnAccount(account.name, m_book.FiguresOf(account.name));
    }
  }
  figures.routers = m_members.Live();
  figures.upstreams = m_directory.size();
  figures.upstream_connections = m_pool.opened();
  figures.log_lines_left_out = m_log.left_out();
  figures.ready = Ready();
  figures.store_up = m_contact.up();
  m_metrics.OnProcess(figures);
  LocalAnswer answer;
  answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = m_metrics.Text();
  caller->Answer(answer);
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
  const core::Result<entry::UpstreamEntry> entry =
      m_dialect.read_upstream(record.key, record.value);
  if (!core::IsOk(entry)) {
    Lifecycle(LogLine("upstream_entry_unreadable")
                  .Text("why", core::ToString(core::Failure(entry))));
    return;
  }
  if (!m_directory.Put(core::Value(entry))) {
    return;
  }
  if (core::Value(entry).leaving) {
    m_pool.Forget(id);
  }
  Lifecycle(LogLine("upstream_entry")
                .Text("upstream", record.key)
                .Text("service", core::Value(entry).service.value())
                .Text("address", core::Value(entry).address)
                .Flag("leaving", core::Value(entry).leaving));
}

void Gateway::OnNewestUpstreams(const std::vector<KeyedRecord>& records) {
  std::vector<entry::UpstreamEntry> entries;
  for (const KeyedRecord& record : records) {
    core::Result<entry::UpstreamEntry> entry =
        m_dialect.read_upstream(record.key, record.value);
    if (!record.value.empty() && core::IsOk(entry)) {
      entries.push_back(core::TakeValue(std::move(entry)));
    }
  }
  m_directory.ReplaceAll(entries, m_contact, net::BootNow());
  m_upstreams_known = true;
  Lifecycle(LogLine("upstreams_read")
                .Number("listed", static_cast<int64_t>(entries.size()))
                .Number("kept", static_cast<int64_t>(m_directory.size())));
}

void Gateway::OnNewestBeats(const std::vector<KeyedRecord>& records) {
  uint64_t last_epoch = 0;
  for (const KeyedRecord& record : records) {
    v1::RouterBeat beat;
    if (!beat.ParseFromString(record.value)) {
      continue;
    }
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
  v1::RouterBeat beat;
  if (!beat.ParseFromString(record.value)) {
    Lifecycle(LogLine("beat_unreadable").Text("router", record.key));
    return;
  }
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
  m_book.OnPredecessor(m_own_record);
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
  m_book.WriteClaims(beat, m_members.Live(), beat.closing(), net::BootNow());
}

void Gateway::GrantsChanged() {
  // Those that are still short wait again, in a new list.
  const std::vector<std::function<void()>> waiting =
      std::exchange(m_waiting, {});
  for (const auto& on_grant : waiting) {
    on_grant();
  }
}

entry::ConfigurationView Gateway::View() const {
  const core::Duration age = m_config_contact.SilentFor(net::BootNow());
  const bool expires = m_settings.keys_expire > core::Duration::zero();
  return {m_in_force, age < kFreshFor, expires && age > m_settings.keys_expire};
}

bool Gateway::Ready() const {
  return m_in_force && m_upstreams_known && m_first_beat_back &&
         !m_leaving_since;
}

void Gateway::Tick() {
  const core::TimePoint now = net::BootNow();
  for (const core::UpstreamId& id : m_directory.DropLapsed(m_contact, now)) {
    m_pool.Forget(id);
    Lifecycle(LogLine("upstream_gone").Text("upstream", id.value()));
  }
  m_members.Advance(m_contact, now);
  m_peer_loads.Advance(now);
  m_pool.CloseOld(now);
  if (Ready() != m_was_ready) {
    m_was_ready = Ready();
    Lifecycle(LogLine("readiness").Flag("ready", m_was_ready));
  }
  if (m_leaving_since) {
    TryToEnd();
  }
  m_tick.expires_after(kTick);
  m_tick.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      Tick();
    }
  });
}

void Gateway::Drain(std::function<void()> on_done) {
  if (m_leaving_since) {
    return;
  }
  m_on_drained = std::move(on_done);
  m_leaving_since = net::BootNow();
  Lifecycle(LogLine("leaving").Number("in_progress",
                                      static_cast<int64_t>(m_callers->Busy())));
  m_writer->Hurry();
}

// Callers keep addresses for a while and go on coming after the signal. Those
// that come early have the grace to end in; a late one is taken only when it
// is sure to end in what is left of it.
std::optional<core::Duration> Gateway::TimeToStop() const {
  if (!m_leaving_since) {
    return std::nullopt;
  }
  if (m_closing_since) {
    return core::Duration::zero();
  }
  const core::Duration since = net::BootNow() - *m_leaving_since;
  if (since < kEarlyArrival) {
    return std::nullopt;
  }
  return m_settings.grace - kEndAheadOfGrace - since;
}

void Gateway::TryToEnd() {
  const core::TimePoint now = net::BootNow();
  const core::Duration since = now - *m_leaving_since;
  const core::Duration last = m_settings.grace - kEndAheadOfGrace;
  const bool busy = m_callers->Busy() != 0;
  const bool quiet = !busy && since >= kLeaveIdleAfter &&
                     now - m_last_request >= kQuietBeforeEnd;
  if (!m_closing_since && (quiet || since >= last)) {
    // From here on nothing new is taken, so that nothing is cut off while the
    // last claim is written.
    m_closing_since = now;
    m_writer->Hurry();
  }
  if (!m_closing_since) {
    return;
  }
  m_callers->CloseIdle();
  // The store may be away: the ceilings then stay claimed.
  const bool claimed =
      m_last_claim_written || now - *m_closing_since >= kClosingTime;
  if ((claimed && !busy) || since >= last + kClosingTime) {
    Lifecycle(LogLine("stopped")
                  .Number("in_progress", busy ? 1 : 0)
                  .Flag("ceilings_returned", m_last_claim_written));
    m_log.Flush();
    m_on_drained();
  }
}

void Gateway::OnReload(const GatewaySettings& settings) {
  m_settings.address_lifetime = settings.address_lifetime;
  m_settings.grace = settings.grace;
  m_settings.keys_expire = settings.keys_expire;
  Lifecycle(LogLine("settings_reloaded"));
}

}  // namespace coppervalve::gateway
