#include "coppervalve/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>  // duration

namespace coppervalve::gateway {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

const Histogram::BucketBoundaries kSecondsBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,  0.2,
    0.3,   0.5,    0.8,   1.0,  2.5,   5.0,  10.0, 30.0};

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Family<Counter>& RegisterCounter(Registry& registry,
                                 const char* name,
                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Gauge>& RegisterGauge(Registry& registry,
                             const char* name,
                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

Family<Histogram>& RegisterHistogram(Registry& registry,
                                     const char* name,
                                     const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

struct GatewayMetrics::Impl {
  Registry registry;
  Family<Counter>& requests =
      RegisterCounter(registry,
                      "coppervalve_entry_requests_total",
                      "Requests ended, by kind and cause");
  Family<Counter>& attempts =
      RegisterCounter(registry,
                      "coppervalve_entry_attempts_total",
                      "Attempts at upstreams, by outcome");
  Family<Counter>& placements =
      RegisterCounter(registry,
                      "coppervalve_entry_peer_placements_total",
                      "Requests placed by other routers, by their table");
  Family<Counter>& gifts =
      RegisterCounter(registry,
                      "coppervalve_entry_gifts_total",
                      "Token transfers with other routers, by way");
  Family<Counter>& relays =
      RegisterCounter(registry,
                      "coppervalve_entry_relays_total",
                      "Connections that other routers asked for, by result");
  Family<Counter>& connections_ended =
      RegisterCounter(registry,
                      "coppervalve_entry_connections_ended_total",
                      "Connections of callers ended, by the limit exceeded");
  Family<Counter>& store_calls =
      RegisterCounter(registry,
                      "coppervalve_entry_store_calls_total",
                      "Calls to the durable store, by topic and result");
  Family<Histogram>& first_byte =
      RegisterHistogram(registry,
                        "coppervalve_entry_first_byte_seconds",
                        "From a request's last byte to its answer's first");
  Family<Histogram>& whole =
      RegisterHistogram(registry,
                        "coppervalve_entry_whole_answer_seconds",
                        "From a request's last byte to its answer's last");
  Family<Histogram>& grant_wait =
      RegisterHistogram(registry,
                        "coppervalve_entry_grant_wait_seconds",
                        "Time requests waited for a higher ceiling");
  Family<Gauge>& tokens =
      RegisterGauge(registry,
                    "coppervalve_entry_account_tokens",
                    "Tokens of an account at this router, by state");
  Family<Gauge>& process = RegisterGauge(registry,
                                         "coppervalve_entry_state",
                                         "State of the router, by figure");
};

GatewayMetrics::GatewayMetrics() : m_impl(std::make_unique<Impl>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::OnRequest(entry::RouteKind kind, std::string_view cause) {
  m_impl->requests
      .Add({{"kind", std::string(ToString(kind))},
            {"cause", std::string(cause)}})
      .Increment();
}

void GatewayMetrics::OnFirstByte(entry::RouteKind kind,
                                 core::Duration since_arrival) {
  m_impl->first_byte
      .Add({{"kind", std::string(ToString(kind))}}, kSecondsBuckets)
      .Observe(Seconds(since_arrival));
}

void GatewayMetrics::OnServed(entry::RouteKind kind,
                              core::Duration since_arrival) {
  m_impl->whole.Add({{"kind", std::string(ToString(kind))}}, kSecondsBuckets)
      .Observe(Seconds(since_arrival));
}

void GatewayMetrics::OnAttempt(std::string_view outcome) {
  m_impl->attempts.Add({{"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::OnPeerPlacement(bool outdated) {
  m_impl->placements.Add({{"table", outdated ? "outdated" : "current"}})
      .Increment();
}

void GatewayMetrics::OnTransfer(std::string_view way) {
  m_impl->gifts.Add({{"way", std::string(way)}}).Increment();
}

void GatewayMetrics::OnRelay(bool accepted) {
  m_impl->relays.Add({{"result", accepted ? "accepted" : "declined"}})
      .Increment();
}

void GatewayMetrics::OnConnectionEnded(std::string_view limit) {
  m_impl->connections_ended.Add({{"limit", std::string(limit)}}).Increment();
}

void GatewayMetrics::OnGrantWait(core::Duration waited) {
  m_impl->grant_wait.Add({}, kSecondsBuckets).Observe(Seconds(waited));
}

void GatewayMetrics::OnStoreCall(std::string_view topic, bool answered) {
  m_impl->store_calls
      .Add({{"topic", std::string(topic)},
            {"result", answered ? "answered" : "failed"}})
      .Increment();
}

void GatewayMetrics::OnAccount(
    const core::AccountId& account,
    const entry::AllocationLedger::Figures& figures) {
  const auto set = [&](const char* state, core::Tokens tokens) {
    m_impl->tokens.Add({{"account", account.value()}, {"state", state}})
        .Set(static_cast<double>(tokens.value()));
  };
  set("total", figures.total.value_or(core::Tokens(0)));
  set("ceiling", figures.ceiling);
  set("spent", figures.spent);
  set("reserved", figures.reserved);
  set("claimed_elsewhere", figures.others);
}

void GatewayMetrics::OnProcess(const ProcessStats& stats) {
  const auto set = [&](const char* figure, double value) {
    m_impl->process.Add({{"figure", figure}}).Set(value);
  };
  set("configuration_version", static_cast<double>(stats.version.value()));
  set("configuration_age_seconds", Seconds(stats.configuration_age));
  set("configuration_call_seconds", Seconds(stats.configuration_call));
  set("upstream_table_call_seconds", Seconds(stats.upstream_table_call));
  set("heartbeat_call_seconds", Seconds(stats.heartbeat_call));
  set("routers", stats.routers);
  set("active_routers", stats.active_routers);
  set("active", stats.active ? 1 : 0);
  set("upstreams", static_cast<double>(stats.upstreams));
  set("upstream_connections_opened",
      static_cast<double>(stats.upstream_connections));
  set("log_lines_left_out", static_cast<double>(stats.log_lines_left_out));
  set("ready", stats.ready ? 1 : 0);
  set("store_up", stats.store_up ? 1 : 0);
  set("quarantined_requests", static_cast<double>(stats.quarantined_requests));
  set("quarantined_parts", static_cast<double>(stats.quarantined_parts));
  set("follows_upstreams", stats.follows_upstreams ? 1 : 0);
  set("limited_upstreams", static_cast<double>(stats.limited_upstreams));
  set("evacuated_domains", static_cast<double>(stats.evacuated_domains));
  set("upstream_table_age_seconds", Seconds(stats.upstream_table_age));
  set("evacuation_known_within_seconds",
      Seconds(stats.evacuation_known_within));
  set("held_ahead", stats.held_ahead);
  set("relayed_connections_opened",
      static_cast<double>(stats.relayed_connections));
  set("services_out_of_reach",
      static_cast<double>(stats.services_out_of_reach));
  set("relayed_for_others", static_cast<double>(stats.relayed_for_others));
  set("caller_connections", static_cast<double>(stats.caller_connections));
  set("caller_bytes", static_cast<double>(stats.caller_bytes));
  set("resident_bytes", static_cast<double>(stats.resident_bytes));
  set("unavailable_ports", static_cast<double>(stats.unavailable_ports));
  set("heartbeat_bytes", static_cast<double>(stats.heartbeat_bytes));
  set("heartbeat_reduced", stats.heartbeat_reduced ? 1 : 0);
}

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

std::string_view ToString(entry::RouteKind kind) {
  switch (kind) {
    case entry::RouteKind::kIdempotent:
      return "idempotent";
    case entry::RouteKind::kStream:
      return "stream";
    case entry::RouteKind::kAtMostOnce:
      break;
  }
  return "at_most_once";
}

}  // namespace coppervalve::gateway
