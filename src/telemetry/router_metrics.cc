#include "coppervalve/telemetry/router_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>          // array
#include <chrono>         // duration
#include <unordered_map>  // unordered_map
#include <utility>        // move

namespace coppervalve::telemetry {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

// From 1 ms, for short answers such as a classifier's, to 60 s, for long
// generated texts such as itineraries.
const Histogram::BucketBoundaries kSecondsBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1.0,    2.5,   5.0,  10.0,  30.0, 60.0};

Family<Counter>& CounterOf(Registry& registry,
                           const std::string& name,
                           const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Histogram& HistogramOf(Registry& registry,
                       const std::string& name,
                       const std::string& help) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, kSecondsBuckets);
}

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct RouterMetrics::Impl {
  struct Attempt {
    core::TimePoint sent;
    std::string upstream;
  };

  void Count(Family<Counter>& family, const prometheus::Labels& labels) {
    family.Add(labels).Increment();
  }

  // ---- Events --------------------------------------------------------------

  void On(core::TimePoint now, const router::RequestArrived& event) {
    Count(requests, {{"kind", event.model.empty() ? "service" : "model"},
                     {"forwarded", event.forwarded_account ? "yes" : "no"}});
    arrivals[event.request] = now;
    in_progress.Set(static_cast<double>(arrivals.size()));
  }
  void On(core::TimePoint now, const router::AttemptFirstToken& event) {
    const auto found = sent.find(event.attempt);
    if (found != sent.end()) {
      first_token.Observe(Seconds(now - found->second.sent));
    }
  }
  void On(core::TimePoint now, const router::AttemptDone& event) {
    EndAttempt(now, event.attempt, "done");
    if (event.usage) {
      tokens.Add({{"kind", "prompt"}})
          .Increment(static_cast<double>(event.usage->prompt.value()));
      tokens.Add({{"kind", "output"}})
          .Increment(static_cast<double>(event.usage->output.value()));
    }
    const auto found = arrivals.find(event.request);
    if (found != arrivals.end()) {
      request_seconds.Observe(Seconds(now - found->second));
    }
    EndRequest(event.request);
  }
  void On(core::TimePoint now, const router::AttemptNotSent& event) {
    EndAttempt(now, event.attempt, "not_sent");
  }
  void On(core::TimePoint now, const router::AttemptDeclined& event) {
    EndAttempt(now, event.attempt, "declined");
  }
  void On(core::TimePoint now, const router::AttemptFailed& event) {
    EndAttempt(now, event.attempt, "failed");
    Count(failures, {{"error", core::ErrorCode(event.error.id)}});
  }
  void On(core::TimePoint /*now*/, const router::CallerDisconnected& event) {
    Count(answers, {{"outcome", "caller_gone"}});
    EndRequest(event.request);
  }
  void On(core::TimePoint /*now*/, const router::ForwardEnded& event) {
    Count(forwards, {{"result", event.answered ? "answered" : "failed"}});
    if (event.answered) {
      EndRequest(event.request);
    }
  }
  void On(core::TimePoint /*now*/, const router::LogRead& event) {
    Count(log_reads, {{"result", "ok"}});
    log_entries.Increment(static_cast<double>(event.reply.entries_size()));
  }
  void On(core::TimePoint /*now*/, const router::LogReadFailed& /*event*/) {
    Count(log_reads, {{"result", "failed"}});
  }
  void On(core::TimePoint /*now*/, const router::LogAppended& /*event*/) {
    Count(log_appends, {{"result", "ok"}});
  }
  void On(core::TimePoint /*now*/, const router::LogAppendFailed& /*event*/) {
    Count(log_appends, {{"result", "unknown"}});
  }
  void On(core::TimePoint /*now*/, const router::PeerReceived& /*event*/) {
    Count(peer_messages, {{"direction", "received"}});
  }
  void On(core::TimePoint /*now*/, const router::PeerSendFailed& /*event*/) {
    Count(peer_messages, {{"direction", "send_failed"}});
  }
  void On(core::TimePoint /*now*/, const router::ProbeEnded& event) {
    Count(probes, {{"upstream", event.upstream.value()},
                   {"result", event.healthy ? "healthy" : "failed"}});
  }

  // ---- Actions -------------------------------------------------------------

  void On(core::TimePoint now, const router::Dispatch& action) {
    Count(dispatches, {{"upstream", action.upstream.value()}});
    sent[action.attempt] = {now, action.upstream.value()};
    const auto found = arrivals.find(action.request);
    if (found != arrivals.end()) {
      wait_seconds.Observe(Seconds(now - found->second));
    }
  }
  void On(core::TimePoint now, const router::CancelAttempt& action) {
    EndAttempt(now, action.attempt, "cancelled");
  }
  void On(core::TimePoint /*now*/, const router::Refuse& action) {
    Count(refusals,
          {{"error", core::ErrorCode(action.error.id)},
           {"run_state", std::string(core::RunStateName(action.run_state))}});
    EndRequest(action.request);
  }
  void On(core::TimePoint /*now*/, const router::JoinAnswer& action) {
    Count(answers, {{"outcome", "joined"}});
    EndRequest(action.request);
  }
  void On(core::TimePoint /*now*/, const router::SendPeer& /*action*/) {
    Count(peer_messages, {{"direction", "sent"}});
  }
  void On(core::TimePoint /*now*/, const router::LogLine& action) {
    static constexpr std::array kNames = {"info", "warning", "error"};
    Count(log_lines, {{"level", kNames[static_cast<size_t>(action.level)]}});
  }

  /// Ignores events and actions that have no metric.
  template <typename Other>
  void On(core::TimePoint /*now*/, const Other& /*other*/) {}

  // ---- Helpers -------------------------------------------------------------

  void EndAttempt(core::TimePoint now,
                  core::AttemptId attempt,
                  const std::string& result) {
    const auto found = sent.find(attempt);
    if (found == sent.end()) {
      return;
    }
    Count(attempts, {{"upstream", found->second.upstream}, {"result", result}});
    attempt_seconds.Observe(Seconds(now - found->second.sent));
    sent.erase(found);
  }
  void EndRequest(core::RequestId request) {
    arrivals.erase(request);
    in_progress.Set(static_cast<double>(arrivals.size()));
  }

  std::shared_ptr<Registry> registry = std::make_shared<Registry>();
  Family<Counter>& requests =
      CounterOf(*registry, "coppervalve_requests_total", "Requests taken in");
  Family<Counter>& rejected =
      CounterOf(*registry,
                "coppervalve_rejected_total",
                "Requests that the shell refused before the core saw them");
  Family<Counter>& connections_ended =
      CounterOf(*registry,
                "coppervalve_connections_ended_total",
                "Connections ended, by the limit that all exceeded");
  Family<Counter>& refusals = CounterOf(*registry,
                                        "coppervalve_refusals_total",
                                        "Refusals and failures told");
  Family<Counter>& answers = CounterOf(*registry,
                                       "coppervalve_waits_ended_total",
                                       "Waits ended otherwise");
  Family<Counter>& dispatches = CounterOf(*registry,
                                          "coppervalve_dispatches_total",
                                          "Attempts handed out");
  Family<Counter>& attempts = CounterOf(*registry,
                                        "coppervalve_attempts_total",
                                        "Attempts by their result");
  Family<Counter>& failures =
      CounterOf(*registry,
                "coppervalve_attempt_failures_total",
                "Attempts without a whole answer after bytes were sent");
  Family<Counter>& tokens =
      CounterOf(*registry, "coppervalve_tokens_total", "Tokens as reported");
  Family<Counter>& forwards = CounterOf(*registry,
                                        "coppervalve_forwards_total",
                                        "Requests relayed to a peer");
  Family<Counter>& log_reads =
      CounterOf(*registry, "coppervalve_log_reads_total", "Reads of the log");
  Counter& log_entries = CounterOf(*registry,
                                   "coppervalve_log_entries_total",
                                   "Entries read from the log")
                             .Add({});
  Family<Counter>& log_appends = CounterOf(*registry,
                                           "coppervalve_log_appends_total",
                                           "Appends to the log");
  Family<Counter>& peer_messages = CounterOf(*registry,
                                             "coppervalve_peer_messages_total",
                                             "Messages of routers");
  Family<Counter>& probes =
      CounterOf(*registry, "coppervalve_probes_total", "Upstream probes");
  Family<Counter>& log_lines =
      CounterOf(*registry, "coppervalve_log_lines_total", "Lines logged");
  Gauge& in_progress = prometheus::BuildGauge()
                           .Name("coppervalve_requests_in_progress")
                           .Help("Requests without a final answer")
                           .Register(*registry)
                           .Add({});
  Histogram& request_seconds = HistogramOf(*registry,
                                           "coppervalve_request_seconds",
                                           "From arrival to the whole answer");
  Histogram& wait_seconds = HistogramOf(*registry,
                                        "coppervalve_dispatch_wait_seconds",
                                        "From arrival to a dispatch");
  Histogram& attempt_seconds =
      HistogramOf(*registry,
                  "coppervalve_attempt_seconds",
                  "From dispatch to the attempt's end");
  Histogram& first_token = HistogramOf(*registry,
                                       "coppervalve_first_token_seconds",
                                       "From dispatch to the first token");

  // Used on the control thread only.
  std::unordered_map<core::RequestId, core::TimePoint> arrivals;
  std::unordered_map<core::AttemptId, Attempt> sent;
};

RouterMetrics::RouterMetrics() : m_impl(std::make_unique<Impl>()) {}

RouterMetrics::~RouterMetrics() = default;

void RouterMetrics::OnEvent(core::TimePoint now, const router::Event& event) {
  std::visit([this, now](const auto& each) { m_impl->On(now, each); }, event);
}

void RouterMetrics::OnAction(core::TimePoint now,
                             const router::Action& action) {
  std::visit([this, now](const auto& each) { m_impl->On(now, each); }, action);
}

void RouterMetrics::OnRejected(const core::Error& error) {
  m_impl->Count(m_impl->rejected, {{"error", core::ErrorCode(error.id)}});
}

void RouterMetrics::OnConnectionEnded(core::ConnectionLimit limit) {
  m_impl->Count(m_impl->connections_ended,
                {{"limit", std::string(core::ToString(limit))}});
}

std::string RouterMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_impl->registry->Collect());
}

}  // namespace coppervalve::telemetry
