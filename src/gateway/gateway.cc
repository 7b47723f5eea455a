#include "coppervalve/gateway/gateway.h"

#include <unistd.h>  // STDOUT_FILENO

#include <chrono>  // milliseconds
#include <memory>  // make_shared
#include <pcg_random.hpp>
#include <random>   // random_device
#include <utility>  // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kTick{200};
// A configuration counts as the newest while its topic answered this recently.
constexpr core::Duration kFreshFor{1'900'000};
constexpr core::Duration kLoadLifetime{800'000};
constexpr core::Duration kPeerSilence{1'200'000};
constexpr core::Duration kPeerMemory{5'000'000};
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
                 KeyedStore store,
                 entry::Policy policy)
    : m_io(io),
      m_settings(std::move(settings)),
      m_policy(policy),
      m_dialect(std::move(dialect)),
      m_store(std::move(store)),
      m_random(SeededRandom()),
      m_log(io, STDOUT_FILENO, {}),
      m_directory({},
                  [this](const entry::UpstreamEntry& entry) {
                    m_crashes.OnEnded(entry, "entry");
                  }),
      m_peer_loads(kLoadLifetime),
      m_peers(kPeerSilence, kPeerMemory),
      m_retries(m_settings.retries),
      m_book(policy.book),
      m_members(m_settings.router,
                kRouterSilence,
                m_peers,
                static_cast<size_t>(policy.least_active)),
      m_senders(m_members, policy.warm_up),
      m_gate(m_senders, m_settings.warm_up, policy.limit),
      m_placer(policy.placement,
               m_settings.failure_domain,
               m_peer_loads,
               m_gate,
               m_random),
      m_pool(io),
      m_crashes(io, m_log, {[this] { m_writer->Hurry(); }}),
      m_tick(io) {
  m_context.emplace(ExchangeContext{
      m_io,
      m_dialect,
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
      m_pool,
      m_unknown_words,
      m_crashes,
      m_log,
      m_metrics,
      m_random,
      [this] { return View(); },
      [this](std::function<void()> on_grant) {
        m_waiting.push_back(std::move(on_grant));
        m_writer->Hurry();
      },
      [this](const core::AccountId& account, core::Tokens tokens,
             std::function<void()> on_done) {
        return m_policy.gifts &&
               m_borrower->Borrow(account, tokens, std::move(on_done));
      },
      [this] { return TimeToStop(); },
      [this] { return m_upstreams_known; },
      [this](const entry::PlacementQuery& query,
             std::function<void(const entry::Placement&)> on_told) {
        m_place_asker->Ask(query, std::move(on_told));
      }});
  MakeBorrower();
  MakePlaceAsker();
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
  m_boot = net::BootId();
  TakePort();
  MakeBeatWriter();
  MakeFollowers();
  m_configuration->Start();
  ChooseTableReaders();
  m_upstreams->Start();
  m_beats->Start();
  Tick();
  return core::Ok();
}

void Gateway::Lifecycle(LogLine line) {
  m_log.Write(LineKind::kLifecycle, std::move(line));
}

entry::ConfigurationView Gateway::View() const {
  const core::Duration age = m_config_contact.SilentFor(net::BootNow());
  const bool expires = m_settings.keys_expire > core::Duration::zero();
  return {m_in_force, age < kFreshFor, expires && age > m_settings.keys_expire};
}

bool Gateway::Ready() const {
  return m_in_force && KnowsUpstreams() && m_first_beat_back &&
         !m_leaving_since;
}

void Gateway::Tick() {
  const core::TimePoint now = net::BootNow();
  for (const core::UpstreamId& id :
       m_directory.DropExpired(m_upstream_contact, now)) {
    m_pool.Forget(id);
    Lifecycle(LogLine("upstream_gone").Text("upstream", id.value()));
  }
  m_members.Advance(m_beat_contact, now);
  m_senders.Advance(now);
  ChooseTableReaders();
  TellActive();
  m_peer_loads.Advance(now);
  m_crashes.record().Advance(now);
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

void Gateway::TellActive() {
  const uint32_t active = m_members.Active();
  if (active == m_active_told && m_members.SelfActive() == m_was_active) {
    return;
  }
  if (m_members.SelfActive() != m_was_active) {
    // Its claims follow what it is now.
    m_writer->Hurry();
  }
  m_active_told = active;
  m_was_active = m_members.SelfActive();
  Lifecycle(LogLine("active_routers")
                .Number("active", active)
                .Number("live", m_members.Live())
                .Flag("this_one", m_was_active));
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
