// Decides whether this router reads the heartbeats of the others, and asks
// active routers for their view of the fleet while it does not.
#include <algorithm>  // min

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// An older view may name routers that have failed. This router then reads the
// heartbeats itself.
constexpr core::Duration kMaxViewAge{3'500'000};
// Within a shorter time little is written, and listing again costs more.
constexpr core::Duration kMinPostponement{500'000};
// Meanwhile callers may be directed to routers that have failed.
constexpr core::Duration kMaxFallbackDelay{10'000'000};

}  // namespace

void Gateway::MakeFleetViewClient() {
  FleetViewClient::Hooks hooks;
  hooks.peers = [this] { return m_members.LoadAddresses(); };
  hooks.send = [this](const std::string& address, const v1::FleetViewAsk& ask) {
    if (m_peer_messenger) {
      v1::PeerDatagram datagram;
      *datagram.mutable_view_ask() = ask;
      m_peer_messenger->Send(address, datagram);
    }
  };
  hooks.on_view = [this](const entry::FleetView& view) {
    if (!m_follows_heartbeats) {
      m_members.AdoptView(view);
      m_crashes.OnVerdicts(view.crashes);
    }
  };
  m_fleet_view_client = std::make_unique<FleetViewClient>(
      m_io, m_settings.load_address, std::move(hooks), m_random);
}

// Only a router that reads the heartbeats answers; another one would pass on
// views that become older with each router.
void Gateway::OnFleetViewAsk(const v1::FleetViewAsk& ask) {
  if (!m_follows_heartbeats || !m_beat_contact.up()) {
    return;
  }
  entry::FleetView view = m_members.View();
  view.crashes = m_crashes.record().Verdicts(net::BootNow());
  v1::PeerDatagram datagram;
  *datagram.mutable_view_answer() = ToFleetViewAnswer(ask, view);
  m_peer_messenger->Send(ask.reply_address(), datagram);
}

size_t Gateway::AccountCount() const {
  return m_in_force ? m_in_force->configuration().accounts.size() : 0;
}

entry::TopicCost Gateway::HeartbeatCost() const {
  entry::TopicCost cost;
  cost.bytes_per_second = entry::HeartbeatBytes(Limits(), AccountCount());
  cost.routers = m_members.KnownCount();
  cost.store_bytes_per_second = m_settings.store_read_bytes_per_second;
  return cost;
}

core::Duration Gateway::HeartbeatListInterval() const {
  return entry::ReadInterval(
      {m_members.KnownCount(), m_settings.store_read_bytes_per_second},
      entry::HeartbeatListBytes(Limits(), AccountCount()));
}

core::Duration Gateway::FallbackDelay() const {
  return routing::UniformDuration(
      m_random, std::min(HeartbeatListInterval(), kMaxFallbackDelay));
}

// The own heartbeat must be read back before this router is ready, and a claim
// before it is granted.
void Gateway::UpdateHeartbeatReading() {
  const core::TimePoint now = net::BootNow();
  const bool needed = m_members.SelfActiveOrNext() || !m_grant_waiters.empty();
  const bool subscribed =
      m_heartbeat_readers.Advance(HeartbeatCost(), needed, now);
  m_fleet_view_client->SetActive(!subscribed);
  const bool postponed = m_postponed_until && now < *m_postponed_until;
  const bool view_lost = m_fleet_view_client->Age(now) > kMaxViewAge;
  const bool falls_back =
      m_fallback_reading.Advance(view_lost, m_contact.up(), now);
  const bool follows =
      !postponed && (subscribed || !m_first_heartbeat_read || falls_back);
  if (follows != m_follows_heartbeats) {
    LogLifecycle(LogLine("follows_heartbeats")
                     .Flag("follows", follows)
                     .Number("routers", m_members.KnownCount()));
  }
  m_follows_heartbeats = follows;
  if (follows) {
    m_heartbeats->Resume();
  }
}

// Routers that start together announce themselves at spread times. One that
// went on reading until its turn would receive the claims of all active routers
// for seconds; dozens of them would delay those claims for the active routers.
// So it stops reading, and lists the heartbeats once more when it is due.
bool Gateway::PostponeStart() {
  if (m_postponed_until || m_start_spread) {
    return false;
  }
  const core::Duration delay =
      routing::UniformDuration(m_random, entry::MaxSpreadDelay(Limits()));
  if (delay < kMinPostponement) {
    return false;
  }
  m_postponed_until = net::BootNow() + delay;
  m_follows_heartbeats = false;
  return true;
}

void Gateway::OnHeartbeatReadingStopped() {
  if (m_fleet_view_client->view()) {
    m_members.AdoptView(*m_fleet_view_client->view());
  }
}

}  // namespace coppervalve::gateway
