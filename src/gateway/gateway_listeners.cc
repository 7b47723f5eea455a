#include "coppervalve/gateway/gateway.h"

#include <algorithm>  // clamp, max
#include <memory>     // make_shared
#include <utility>    // move

#include "coppervalve/entry/limit_reports.h"
#include "coppervalve/net/clock.h"
#include "coppervalve/net/endpoint.h"
#include "coppervalve/net/process_limits.h"

namespace coppervalve::gateway {

namespace {

// A session takes two descriptors, and up to two buffers of unsent bytes.
size_t MaxRelaySessions(size_t sockets) {
  constexpr size_t kPartOfSockets = 16;
  constexpr size_t kFewest = 8;
  constexpr size_t kMost = 256;
  return std::clamp(sockets / kPartOfSockets, kFewest, kMost);
}

// That of the caller and that to the upstream.
constexpr size_t kConnectionsOfRequest = 2;

}  // namespace

// The port is bound before the first heartbeat: from then on no earlier process
// of this VM is running, so that its reserve stays untouched.
void Gateway::BindLoadPort() {
  if (m_settings.load_address.empty()) {
    return;
  }
  MakePeerMessenger();
  m_ports.Open(
      {"loads",
       [this] { return m_peer_messenger->Bind(m_settings.load_address); },
       [this] {
         m_load_port_bound_since = net::BootNow();
         StartLoadReports();
       }});
}

void Gateway::StartLoadReports() {
  if (!m_load_port_bound_since || !m_announced_epoch ||
      m_load_reports_started) {
    return;
  }
  m_load_reports_started = true;
  const uint64_t epoch = *m_announced_epoch;
  m_token_requester->SetEpoch(epoch);
  m_placement_client->SetEpoch(epoch);
  m_fleet_view_client->SetEpoch(epoch);
  m_peer_messenger->Start(epoch);
}

void Gateway::MakePeerMessenger() {
  PeerMessenger::Hooks hooks;
  // Hundreds of standbys without requests have nothing to report.
  hooks.peers = [this] {
    return m_follows_heartbeats ? m_members.LoadAddresses()
                                : std::vector<std::string>();
  };
  hooks.compose = [this](v1::LoadReport& report) {
    report.set_store_up(m_contact.up());
    for (const entry::UpstreamRef& upstream : m_directory.Busy()) {
      v1::UpstreamLoad* load = report.add_loads();
      load->set_upstream(upstream->load_key);
      load->set_in_flight(upstream->in_flight);
      load->set_in_prefill(
          static_cast<uint32_t>(std::max(upstream->in_prefill, 0.0)));
    }
    entry::AddLimitsToReport(m_directory, net::BootNow(), report);
  };
  hooks.on_report = [this](const v1::LoadReport& report) {
    const core::TimePoint now = net::BootNow();
    if (m_policy.load_reports) {
      m_peer_loads.OnReport(report, now);
    }
    m_peers.OnReport(core::RouterId(report.router()), report.store_up(), now);
    entry::ApplyReportedLimits(report, now, m_directory);
  };
  hooks.on_token_request = [this](const v1::TokenAsk& ask) { OnTokenAsk(ask); };
  hooks.on_placement_request = [this](const v1::PlaceAsk& ask) {
    OnPlaceAsk(ask);
  };
  hooks.on_place_answer = [this](const v1::PlaceAnswer& answer) {
    m_placement_client->OnAnswer(answer);
  };
  hooks.on_view_request = [this](const v1::FleetViewAsk& ask) {
    OnFleetViewAsk(ask);
  };
  hooks.on_view = [this](const v1::FleetViewAnswer& answer) {
    m_fleet_view_client->OnAnswer(answer);
  };
  hooks.on_gift = [this](const v1::TokenGift& gift) {
    m_token_requester->OnTransfer(gift);
  };
  m_peer_messenger = std::make_unique<PeerMessenger>(
      m_io, m_settings.router.value(), std::move(hooks));
}

size_t Gateway::MaxSockets() const {
  return m_settings.max_sockets != 0 ? m_settings.max_sockets
                                     : net::MaxSockets();
}

// Datagrams and relayed connections use the same port.
void Gateway::MakeRelayServer() {
  if (m_settings.load_address.empty()) {
    return;
  }
  m_relay_server = std::make_unique<RelayServer>(
      m_io, m_dialer, MaxRelaySessions(MaxSockets()),
      RelayServer::Hooks{
          [this](const core::UpstreamId& id) { return RelayedAddressOf(id); },
          [this](bool accepted) { m_metrics.OnRelay(accepted); },
          [this](const core::UpstreamId& id, ConnectResult result) {
            OnRelayConnect(id, result);
          }});
  m_ports.Open(
      {"relays",
       [this] { return m_relay_server->Listen(m_settings.load_address); },
       [] {}});
}

// A router that is partitioned itself would only delay the request.
std::optional<std::string> Gateway::RelayedAddressOf(
    const core::UpstreamId& id) const {
  const entry::UpstreamRef upstream = m_directory.Find(id);
  if (!upstream || upstream->entry.leaving || m_leaving_since ||
      m_reach.IsPartitioned(upstream->entry.service)) {
    return std::nullopt;
  }
  return upstream->entry.address;
}

void Gateway::OnRelayConnect(const core::UpstreamId& id, ConnectResult result) {
  const entry::UpstreamRef upstream = m_directory.Find(id);
  if (!upstream) {
    return;
  }
  if (result == ConnectResult::kOpen) {
    m_reach.OnOpened(upstream->entry, {}, net::BootNow());
  } else {
    m_reach.OnFailed(upstream->entry, net::BootNow());
  }
}

CallerConnection::Hooks Gateway::CallerHooks(
    std::function<void(const CallerRef&, CallerRequest)> on_request) {
  CallerConnection::Hooks hooks;
  hooks.on_request = std::move(on_request);
  hooks.on_bad_request = [this](const core::Error& error) {
    const core::ErrorInfo& info = core::Describe(error.id);
    m_metrics.OnRequest(entry::RouteKind::kAtMostOnce, info.name);
    m_log.Write(LogCategory::kFailure, LogLine("request")
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
  hooks.registry = m_connections;
  return hooks;
}

void Gateway::OnConnectionEnded(const net::ConnectionRegistry::Excess& excess) {
  m_metrics.OnConnectionEnded(core::ToString(excess.limit));
  m_log.Write(LogCategory::kFailure,
              LogLine("connection_ended")
                  .Text("limit", core::ToString(excess.limit))
                  .Text("stage", core::ToString(excess.stage))
                  .Number("bytes", static_cast<int64_t>(excess.bytes))
                  .Number("connections",
                          static_cast<int64_t>(m_connections->connections()))
                  .Number("bytes_of_all",
                          static_cast<int64_t>(m_connections->bytes())));
}

void Gateway::MakeListeners() {
  core::ConnectionLimits limits =
      core::LimitsForProcess(m_settings.memory_bytes, MaxSockets());
  limits.connections_of_busy = kConnectionsOfRequest;
  m_connections = std::make_shared<net::ConnectionRegistry>(
      limits, [this](const net::ConnectionRegistry::Excess& excess) {
        OnConnectionEnded(excess);
      });
  m_pool.SetRegistry(m_connections);
  CallerConnection::Hooks callers = CallerHooks([this](const CallerRef& caller,
                                                       CallerRequest request) {
    m_last_request = request.arrived;
    m_arrivals.Add(core::Tokens(1), request.arrived);
    std::make_shared<Exchange>(*m_context, caller, std::move(request))->Start();
  });
  callers.requests_wait = true;
  AddListener("callers", m_settings.caller_address, std::move(callers));
  m_callers = m_listeners.front().listener;
  AddListener("readiness", m_settings.readiness_address,
              CallerHooks([this](const CallerRef& caller,
                                 const CallerRequest& request) {
                caller->Respond(m_adapter.readiness(request.head, Ready()));
              }));
  AddListener(
      "directory", m_settings.directory_address,
      CallerHooks([this](const CallerRef& caller,
                         const CallerRequest& request) {
        caller->Respond(m_adapter.addresses(request.head, m_members.Addresses(),
                                            m_settings.address_lifetime));
      }));
  AddListener("metrics", m_settings.metrics_address,
              CallerHooks([this](const CallerRef& caller,
                                 const CallerRequest& /*request*/) {
                ServeMetrics(caller);
              }));
}

void Gateway::AddListener(std::string name,
                          const std::string& address,
                          CallerConnection::Hooks hooks) {
  if (!address.empty()) {
    m_listeners.push_back({std::move(name), address,
                           std::make_shared<Listener>(m_io, std::move(hooks))});
  }
}

core::Status Gateway::CheckAddresses() const {
  for (const ListeningPort& port : m_listeners) {
    if (!net::ReadEndpoint(port.address)) {
      return core::Error{core::ErrorId::kSettingBadValue, port.address,
                         "invalid address"};
    }
  }
  return core::Ok();
}

core::Status Gateway::OpenPort(const ListeningPort& port,
                               std::function<void()> on_open) {
  return m_ports.Open({port.name,
                       [port] { return port.listener->Listen(port.address); },
                       std::move(on_open)});
}

// What the other ports answer is known only once the router serves.
core::Status Gateway::OpenPorts() {
  const auto others = std::make_shared<core::Status>(core::Ok());
  const auto late = std::make_shared<bool>(false);
  core::Status callers = OpenPort(m_listeners.front(), [this, others, late] {
    Serve();
    *others = OpenOtherPorts();
    if (*late && !core::IsOk(*others) && m_on_start_failure) {
      m_on_start_failure(core::Failure(*others));
    }
  });
  *late = true;
  return core::IsOk(callers) ? *others : callers;
}

core::Status Gateway::OpenOtherPorts() {
  for (size_t i = 1; i < m_listeners.size(); ++i) {
    core::Status opened = OpenPort(m_listeners[i], [] {});
    if (!core::IsOk(opened)) {
      return opened;
    }
  }
  return core::Ok();
}

ListenRetry::Hooks Gateway::PortHooks() {
  return {[this](const ListenRetry::Port& port, const core::Error& error) {
            LogLifecycle(LogLine("port_unavailable")
                             .Text("port", port.name)
                             .Text("why", core::ToString(error)));
          },
          [this](const ListenRetry::Port& port, core::Duration waited) {
            LogLifecycle(LogLine("port_opened")
                             .Text("port", port.name)
                             .Millis("waited_ms", waited));
          }};
}

void Gateway::ServeMetrics(const CallerRef& caller) {
  const core::TimePoint now = net::BootNow();
  ProcessStats stats;
  if (m_in_force) {
    stats.version = m_in_force->version();
    stats.configuration_age = m_configuration_age.At(now);
    for (const entry::Account& account : m_in_force->configuration().accounts) {
      m_metrics.OnAccount(account.name, m_book.FiguresOf(account.name));
    }
  }
  stats.configuration_call = m_configuration->CallTime(now);
  stats.upstream_table_call = m_upstreams->CallTime(now);
  stats.heartbeat_call = m_heartbeats->CallTime(now);
  stats.routers = m_members.LiveCount();
  stats.active_routers = m_members.ActiveCount();
  stats.active = m_members.SelfActive();
  stats.upstreams = m_directory.size();
  stats.upstream_connections = m_pool.opened();
  stats.log_lines_left_out = m_log.dropped();
  stats.ready = Ready();
  stats.store_up = m_contact.up();
  stats.quarantined_requests = m_crashes.record().quarantined();
  stats.quarantined_parts = m_crashes.record().quarantined_parts();
  stats.follows_upstreams = m_upstreams_known;
  if (m_upstreams_known) {
    stats.upstream_table_age = m_table_age.At(now);
  }
  stats.limited_upstreams = m_directory.Limited();
  stats.evacuated_domains = m_gate.evacuations().size();
  stats.evacuation_known_within = m_evacuation_known_within;
  stats.held_ahead = m_book.HoldFactor();
  stats.relayed_connections = m_pool.relayed();
  stats.services_out_of_reach = m_reach.partitioned();
  stats.relayed_for_others = m_relay_server ? m_relay_server->Busy() : 0;
  stats.caller_connections = m_connections->connections();
  stats.caller_bytes = m_connections->bytes();
  stats.resident_bytes = net::ResidentBytes();
  stats.unavailable_ports = m_ports.pending();
  stats.heartbeat_bytes = m_heartbeat_bytes;
  stats.heartbeat_reduced = m_omitted != entry::HeartbeatOmissions{};
  m_metrics.OnProcess(stats);
  LocalResponse answer;
  answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = m_metrics.Text();
  caller->Respond(answer);
}

}  // namespace coppervalve::gateway
