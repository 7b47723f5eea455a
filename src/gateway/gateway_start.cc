// Decides when a router that starts begins to read the configuration and the
// heartbeats.
#include "coppervalve/entry/start_spread.h"
#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

void Gateway::ProbeFleet() {
  StartProbe::Hooks hooks;
  hooks.counts = [this](const v1::FleetFacts& facts) {
    return !entry::StartsAtOnce(facts, Capacity());
  };
  hooks.on_done = [this](const StartProbe::Result& fleet) {
    StartReading(fleet);
  };
  std::make_shared<StartProbe>(m_io, m_store, m_settings.layout.heartbeat_topic,
                               m_random, std::move(hooks))
      ->Start();
}

void Gateway::StartReading(const StartProbe::Result& fleet) {
  const entry::StartSpread spread = entry::SpreadOfStart(
      fleet.facts, {Capacity(), fleet.heartbeats_per_second,
                    m_settings.store_read_bytes_per_second});
  m_start_spread = spread.heartbeats > core::Duration::zero();
  const core::Duration configuration =
      routing::UniformDuration(m_random, spread.configuration);
  const core::Duration heartbeats =
      spread.configuration +
      routing::UniformDuration(m_random,
                               spread.heartbeats - spread.configuration);
  if (m_start_spread) {
    LogLifecycle(LogLine("start_spread")
                     .Number("routers", fleet.facts.routers())
                     .Decimal("heartbeats_per_s", fleet.heartbeats_per_second)
                     .Millis("configuration_ms", configuration)
                     .Millis("heartbeats_ms", heartbeats));
  }
  StartLater(m_configuration, configuration);
  StartLater(m_heartbeats, heartbeats);
}

void Gateway::StartLater(const std::shared_ptr<TopicFollower>& follower,
                         core::Duration delay) {
  if (delay == core::Duration::zero()) {
    follower->Start();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
  timer->async_wait(
      [follower, timer](const boost::system::error_code& /*code*/) {
        follower->Start();
      });
}

// Routers that restart after a loss of power learn from these facts when to
// read; in a small fleet they need none.
void Gateway::SetFleetFacts(v1::RouterBeat& beat) const {
  const double least_capacity = m_members.LeastCapacity();
  const bool large = HeartbeatListInterval() > core::Duration::zero();
  if (!large || !m_members.SelfActiveOrNext() || least_capacity == 0) {
    return;
  }
  v1::FleetFacts& facts = *beat.mutable_fleet();
  facts.set_routers(m_members.KnownCount());
  facts.set_least_capacity(least_capacity);
  facts.set_heartbeat_bytes(
      entry::HeartbeatListBytes(Limits(), AccountCount()));
  facts.set_configuration_bytes(m_configuration_bytes);
  facts.set_heartbeats_per_second(
      m_heartbeat_arrivals.PerSecond(net::BootNow()));
}

}  // namespace coppervalve::gateway
