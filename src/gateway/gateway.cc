#include "coppervalve/gateway/gateway.h"

#include <unistd.h>  // STDOUT_FILENO

#include <algorithm>  // min
#include <chrono>     // milliseconds
#include <memory>     // make_shared
#include <pcg_random.hpp>
#include <random>   // random_device
#include <utility>  // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kTickInterval{200};
// The configuration counts as current if its topic has answered within this
// time.
constexpr core::Duration kConfigurationFreshness{1'900'000};
constexpr core::Duration kLoadReportLifetime{800'000};
constexpr core::Duration kPeerTimeout{1'200'000};
constexpr core::Duration kPeerRetention{5'000'000};
constexpr core::Duration kRouterTimeout{3'500'000};
// How long new callers may still arrive after this router has left the address
// list.
constexpr core::Duration kMinDrainTime{3'000'000};
constexpr core::Duration kGraceMargin{900'000};
constexpr core::Duration kDrainAcceptAllTime{2'500'000};
constexpr core::Duration kClosingTimeout{400'000};
// Time in which callers are sent final answers before the process ends.
constexpr core::Duration kFinalAnswerTime{200'000};
constexpr core::Duration kDrainQuietTime{1'500'000};

routing::RandomSource SeededRandom() {
  constexpr unsigned kSeedWordBits = 32;
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  const auto generator = std::make_shared<pcg64>((high << kSeedWordBits) | low);
  return [generator] { return (*generator)(); };
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io,
                 GatewaySettings settings,
                 PlatformAdapter adapter,
                 KeyedStore store,
                 entry::Policy policy)
    : m_io(io),
      m_settings(std::move(settings)),
      m_policy(policy),
      m_adapter(std::move(adapter)),
      m_store(std::move(store)),
      m_random(SeededRandom()),
      m_log(io, STDOUT_FILENO, {}),
      m_directory({},
                  [this](const entry::UpstreamEntry& entry) {
                    m_crashes.OnTerminated(entry, "entry");
                  }),
      m_peer_loads(kLoadReportLifetime),
      m_peers(kPeerTimeout, kPeerRetention),
      m_retries(m_settings.retries),
      m_book(policy.book),
      m_members(m_settings.router,
                kRouterTimeout,
                m_peers,
                static_cast<size_t>(policy.least_active)),
      m_senders(m_members, policy.warm_up),
      m_gate(m_senders, m_settings.warm_up, policy.limit),
      m_placer(policy.placement,
               m_settings.failure_domain,
               m_peer_loads,
               m_gate,
               m_random),
      m_dialer(io, m_settings.upstream_address),
      m_pool(m_dialer),
      m_crashes(m_dialer,
                m_log,
                {[this] { m_heartbeat_writer->Expedite(); },
                 [this](const entry::UpstreamEntry& upstream,
                        std::function<void()> on_refused) {
                   m_reach.AskOthers(upstream, std::move(on_refused));
                 }}),
      m_reach({m_dialer, m_directory, m_gate, m_pool, m_log,
               [this] { return m_members.LoadAddresses(); },
               [this] { return m_members.NextLoadAddresses(); }, m_random}),
      m_ports(io, PortHooks()),
      m_tick(io) {
  m_context.emplace(ExchangeContext{
      m_io,
      m_adapter,
      m_directory,
      m_policy,
      m_gate,
      m_placer,
      m_pace,
      m_retries,
      m_book,
      m_members,
      m_peers,
      m_contact,
      m_table_age,
      entry::MaxTableAge(m_settings.drain_bound),
      m_pool,
      m_unknown_words,
      m_crashes,
      m_reach,
      m_log,
      m_metrics,
      m_random,
      [this] { return View(); },
      [this](std::function<void()> on_grant) {
        m_grant_waiters.push_back(std::move(on_grant));
        m_heartbeat_writer->Expedite();
      },
      [this](const core::AccountId& account, core::Tokens tokens,
             std::function<void()> on_done) {
        return m_policy.gifts && m_token_requester->RequestTokens(
                                     account, tokens, std::move(on_done));
      },
      [this] { return TimeUntilShutdown(); },
      [this] { return m_upstreams_known; },
      [this](const entry::PlacementQuery& query,
             std::function<void(const entry::Placement&)> on_placement) {
        m_placement_client->RequestPlacement(query, std::move(on_placement));
      },
      [this](const entry::StreamStart& start) { OnStreamStart(start); },
      [this](entry::StreamKey stream, const core::ServiceId& service,
             std::function<void(const StreamResumption&)> on_resolved) {
        ResolveStream(stream, service, std::move(on_resolved));
      }});
  MakeTokenRequester();
  MakePlacementClient();
  MakeFleetViewClient();
}

// A call to the store may still be in progress.
Gateway::~Gateway() {
  for (const auto& follower : {m_configuration, m_upstreams, m_heartbeats}) {
    if (follower) {
      follower->Close();
    }
  }
}

core::Status Gateway::Start(
    std::function<void(const core::Error&)> on_failure) {
  m_on_start_failure = std::move(on_failure);
  LogLifecycle(LogLine("started")
                   .Text("router", m_settings.router.value())
                   .Text("failure_domain", m_settings.failure_domain.value())
                   .Text("callers", m_settings.caller_address));
  MakeListeners();
  core::Status usable = CheckAddresses();
  return core::IsOk(usable) ? OpenPorts() : usable;
}

// An earlier process of this VM that still runs has the callers' port. A
// heartbeat of this one would supersede it before its requests have ended.
void Gateway::Serve() {
  m_serving = true;
  m_boot = net::BootId();
  BindLoadPort();
  MakeRelayServer();
  MakeHeartbeatWriter();
  MakeFollowers();
  MakeStreamRecords();
  UpdateTableReading();
  m_upstreams->Start();
  ProbeFleet();
  Tick();
}

void Gateway::LogLifecycle(LogLine line) {
  m_log.Write(LogCategory::kLifecycle, std::move(line));
}

entry::ConfigurationView Gateway::View() const {
  const core::TimePoint now = net::BootNow();
  const core::Duration age = m_config_contact.SilentFor(now);
  const bool expires = m_settings.key_expiry > core::Duration::zero();
  return {m_in_force, age < kConfigurationFreshness,
          expires && age > m_settings.key_expiry, m_configuration_age.At(now)};
}

std::string_view Gateway::MissingForReadiness() const {
  if (m_leaving_since) {
    return "leaving";
  }
  if (!m_in_force) {
    return "configuration";
  }
  if (!KnowsUpstreams()) {
    return "upstreams";
  }
  if (!m_first_heartbeat_read) {
    return "heartbeat";
  }
  // A router that is active, or will be as there is no other, would refuse its
  // first callers until its claims are granted.
  const bool others_serve =
      !m_members.SelfActive() && !m_members.Addresses().empty();
  const bool can_spend = m_was_ready || m_claims_read || others_serve;
  return can_spend ? "" : "claims";
}

void Gateway::Tick() {
  const core::TimePoint now = net::BootNow();
  for (const core::UpstreamId& id :
       m_directory.DropExpired(m_upstream_contact, now)) {
    m_pool.CloseAll(id);
    LogLifecycle(LogLine("upstream_gone").Text("upstream", id.value()));
  }
  m_members.Advance(m_beat_contact, now, LongestHeartbeatPeriod());
  m_senders.Advance(now);
  UpdateHeartbeatReading();
  UpdateTableReading();
  LogActiveRouters();
  if (ClaimsAsActive(now) && !m_claimed_as_active) {
    m_heartbeat_writer->Expedite();
  }
  m_peer_loads.Advance(now);
  UpdateStreamVersions(now);
  m_crashes.record().Advance(now);
  m_reach.Advance(now);
  m_pool.CloseExpired(now);
  const std::string_view missing = MissingForReadiness();
  if (missing != m_missing_logged) {
    m_missing_logged = missing;
    LogLifecycle(LogLine("readiness")
                     .Flag("ready", missing.empty())
                     .Text("missing", missing));
  }
  m_was_ready = missing.empty();
  if (m_leaving_since) {
    TryFinishDrain();
  }
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      Tick();
    }
  });
}

void Gateway::LogActiveRouters() {
  const uint32_t active = m_members.ActiveCount();
  if (active == m_active_logged && m_members.SelfActive() == m_was_active) {
    return;
  }
  if (m_members.SelfActive() != m_was_active) {
    // Claims depend on whether the router is active.
    m_heartbeat_writer->ExpediteSpread();
  }
  m_active_logged = active;
  m_was_active = m_members.SelfActive();
  LogLifecycle(LogLine("active_routers")
                   .Number("active", active)
                   .Number("live", m_members.LiveCount())
                   .Flag("this_one", m_was_active));
}

void Gateway::Drain(std::function<void()> on_done) {
  if (m_leaving_since) {
    return;
  }
  m_on_drained = std::move(on_done);
  m_leaving_since = net::BootNow();
  LogLifecycle(LogLine("leaving").Number(
      "in_progress", static_cast<int64_t>(m_callers->Busy())));
  if (!m_serving) {
    FinishDrain(0);
    return;
  }
  m_heartbeat_writer->Expedite();
}

// Callers cache addresses and keep arriving after the signal. Early requests
// may use the whole grace period; a late one is accepted only if it is sure to
// finish in the time left.
std::optional<core::Duration> Gateway::TimeUntilShutdown() const {
  if (!m_leaving_since) {
    return std::nullopt;
  }
  if (m_closing_since) {
    return core::Duration::zero();
  }
  const core::Duration since = net::BootNow() - *m_leaving_since;
  if (since < kDrainAcceptAllTime) {
    return std::nullopt;
  }
  return m_settings.grace - kGraceMargin - since;
}

void Gateway::TryFinishDrain() {
  const core::TimePoint now = net::BootNow();
  const core::Duration since = now - *m_leaving_since;
  const core::Duration last = m_settings.grace - kGraceMargin;
  const bool relays = m_relay_server && m_relay_server->Busy() != 0;
  const bool busy = m_callers->Busy() != 0 || relays;
  const bool quiet = !busy && since >= kMinDrainTime &&
                     now - m_last_request >= kDrainQuietTime;
  if (!m_closing_since && (quiet || since >= last)) {
    // From here on no request is accepted, so that none is interrupted while
    // the last claim is written.
    m_closing_since = now;
    m_heartbeat_writer->Expedite();
  }
  if (!m_closing_since) {
    return;
  }
  m_callers->CloseIdle();
  if (since >= last + kClosingTimeout - kFinalAnswerTime) {
    m_callers->EndRequests(DrainEnd::kAnswer);
  }
  // If the store is unavailable, the ceilings stay claimed.
  const bool claimed =
      m_last_claim_written || now - *m_closing_since >= kClosingTimeout;
  if ((claimed && !busy) || since >= last + kClosingTimeout) {
    FinishDrain(busy ? 1 : 0);
  }
}

void Gateway::FinishDrain(int64_t in_progress) {
  m_callers->EndRequests(DrainEnd::kCut);
  LogLifecycle(LogLine("stopped")
                   .Number("in_progress", in_progress)
                   .Flag("ceilings_returned", m_last_claim_written));
  m_log.Flush();
  m_on_drained();
}

void Gateway::OnReload(const GatewaySettings& settings) {
  m_settings.address_lifetime = settings.address_lifetime;
  // A supervisor may still count the time that was set when it sent the signal.
  m_settings.grace = m_leaving_since
                         ? std::min(m_settings.grace, settings.grace)
                         : settings.grace;
  m_settings.key_expiry = settings.key_expiry;
  LogLifecycle(LogLine("settings_reloaded"));
}

void Gateway::OnReloadFailure(const core::Error& error) {
  LogLifecycle(LogLine("settings_not_read").Text("why", core::ToString(error)));
}

}  // namespace coppervalve::gateway
