#include "coppervalve/router/detail/session.h"

#include <limits>   // numeric_limits
#include <utility>  // move

namespace coppervalve::router::detail {

using core::TimePoint;

namespace {

constexpr size_t kMaxDemandsPerHeartbeat = 32;
constexpr double kPerThousandSeconds = 1000.0;

}  // namespace

v1::Heartbeat Session::MakeHeartbeat(TimePoint now) {
  v1::Heartbeat heartbeat;
  heartbeat.set_next_offset(m_log.fold().next_offset().value());
  const auto age = m_peers.LogAge(now);
  heartbeat.set_log_age_ms(
      age.has_value()
          ? static_cast<uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                    .count())
          : std::numeric_limits<uint64_t>::max());
  heartbeat.set_config_version(m_configured.version().value());
  heartbeat.set_known_version(m_log.fold().known_version().value());
  heartbeat.set_draining(draining());
  heartbeat.set_in_progress(static_cast<uint32_t>(m_flow.in_progress()));
  heartbeat.set_queued(static_cast<uint32_t>(m_flow.queued()));
  for (v1::Spare& spare : m_budgets.holding_manager().TakeSpares(now)) {
    *heartbeat.add_spares() = std::move(spare);
  }
  for (const routing::AccountDemand& demand :
       m_flow.limiter().ReportDemand(now)) {
    if (heartbeat.demands_size() >= static_cast<int>(kMaxDemandsPerHeartbeat)) {
      break;
    }
    v1::AccountDemand& out = *heartbeat.add_demands();
    out.set_account(demand.account.value());
    out.set_requests_per_1000_s(static_cast<uint32_t>(
        demand.requests_per_second * kPerThousandSeconds));
  }
  return heartbeat;
}

void Session::On(TimePoint now, const PeerReceived& event) {
  const v1::PeerMessage& message = event.message;
  // A message for an earlier incarnation of this router would change tokens or
  // ceilings that this one does not have.
  if (message.to_incarnation() != m_incarnation.value()) {
    return;
  }
  if (message.has_heartbeat()) {
    OnPeerHeartbeat(now, message);
    return;
  }
  m_budgets.OnPeerMessage(now, message);
}

void Session::OnPeerHeartbeat(TimePoint now, const v1::PeerMessage& message) {
  const core::RouterId router(message.from_router());
  const core::Incarnation incarnation(message.from_incarnation());
  const v1::Heartbeat& heartbeat = message.heartbeat();
  m_peers.OnHeartbeat(now, {router, incarnation}, heartbeat);
  m_budgets.holding_manager().OnPeerSpares(
      now, {router, incarnation},
      {heartbeat.spares().begin(), heartbeat.spares().end()});
  std::vector<routing::AccountDemand> demands;
  for (const v1::AccountDemand& demand : heartbeat.demands()) {
    demands.push_back({core::AccountId(demand.account()),
                       demand.requests_per_1000_s() / kPerThousandSeconds});
  }
  m_flow.limiter().SetPeerDemand(router, demands);
}

void Session::On(TimePoint now, const PeerSendFailed& event) {
  m_peers.OnSendFailed(now, event.router);
}

}  // namespace coppervalve::router::detail
