#include "coppervalve/gateway/exchange.h"

#include <algorithm>  // min, max
#include <utility>    // move, exchange

#include "coppervalve/net/clock.h"
#include "retry_after.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;
using entry::RouteKind;

constexpr core::Duration kMinFirstByteTimeout{250'000};
constexpr core::Duration kMinGapTimeout{700'000};
constexpr int kTimeoutFactor = 4;

std::string_view FramingOf(const http1::ResponseHead& head) {
  if (head.ends_with_connection) {
    return "connection";
  }
  return head.length ? "length" : "chunked";
}

// Bounds the length of log lines.
constexpr size_t kMaxLoggedParts = 8;

std::string Join(const std::vector<core::UpstreamVersion>& versions) {
  std::string text;
  for (const core::UpstreamVersion& version : versions) {
    text += text.empty() ? "" : " ";
    text += version.value();
  }
  return text;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (size_t i = 0; i < parts.size() && i < kMaxLoggedParts; ++i) {
    text += (i == 0 ? "" : " ") + parts[i];
  }
  return text;
}

}  // namespace

void Exchange::Refuse(const core::Error& error,
                      std::optional<core::Duration> retry_after) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  m_caller->Respond(m_context.adapter.refusal(error, retry_after));
  Finish(info.name, info.http_status);
}

// The request may have run: the status claims neither "not run" nor "ran", and
// a response that has begun must not look complete.
void Exchange::Fail(const core::Error& error) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  if (m_response_begun) {
    m_caller->Abort();
    Finish("answer_cut", 0);
    return;
  }
  m_caller->Respond(m_context.adapter.refusal(error, std::nullopt));
  Finish(info.name, info.http_status);
}

void Exchange::OnCallerDisconnected() {
  if (m_done) {
    return;
  }
  DropAttempt();
  Finish("caller_left", 0);
}

bool Exchange::IsShuttingDown() const {
  const auto left = m_context.time_until_shutdown();
  return left && *left <= core::Duration::zero();
}

// A response that has begun goes on until the process ends.
void Exchange::OnDrainEnd(DrainEnd step) {
  if (m_done || (step == DrainEnd::kAnswer && m_response_begun)) {
    return;
  }
  DropAttempt();
  if (m_response_begun) {
    m_last_failure = "the router ends";
    m_caller->Cut();
    Finish("answer_cut", 0);
    return;
  }
  EndForDrain();
}

void Exchange::EndForDrain() {
  if (m_may_have_run) {
    Fail({core::ErrorId::kUpstreamSilent, m_admitted.service.value(),
          "no answer before the router ends"});
  } else {
    Refuse({core::ErrorId::kDraining, "router", "shutting down"}, kRetrySoon);
  }
}

void Exchange::Settle() {
  if (m_reserved == core::Tokens(0)) {
    return;
  }
  core::Tokens used(0);
  if (m_may_have_run) {
    const entry::Service* service =
        m_admitted.configuration_index->FindService(m_admitted.service);
    const uint64_t per_event = service != nullptr && service->engine
                                   ? service->engine->tokens_per_event
                                   : 1;
    const core::Tokens output(
        static_cast<int64_t>(m_sse_splitter.events() * per_event));
    used = std::min(m_reserved,
                    m_facts.prompt + std::min(output, m_facts.max_output));
  }
  const core::AccountId& account = m_admitted.account->name;
  if (m_from_transfer) {
    m_context.book.SettleTransferred(account, m_reserved, used);
  } else {
    m_context.book.Settle(account, m_reserved, used, net::BootNow());
  }
  m_reserved = core::Tokens(0);
}

void Exchange::Finish(std::string_view cause, int status) {
  if (m_done) {
    return;
  }
  m_done = true;
  m_timer.cancel();
  if (m_trial) {
    m_context.crash_monitor.record().EndTrial(*m_trial);
  }
  Settle();
  const RouteKind kind = m_admitted.route != nullptr ? m_admitted.route->kind
                                                     : RouteKind::kAtMostOnce;
  m_context.metrics.OnRequest(kind, cause);
  LogLine line("request");
  line.Text("id", m_facts.id).Text("outcome", cause).Number("status", status);
  DescribeAdmission(line);
  DescribeAttempts(line);
  DescribeResponse(line);
  m_context.log.Write(
      cause == "served" ? LogCategory::kRoutine : LogCategory::kFailure, line);
}

void Exchange::DescribeAdmission(LogLine& line) const {
  if (m_admitted.route == nullptr) {
    return;
  }
  line.Text("rule", m_admitted.route->name.value())
      .Text("service", m_admitted.service.value())
      .Number("config", static_cast<int64_t>(
                            m_admitted.configuration_index->version().value()))
      .Millis("config_age_ms", m_admitted.configuration_age);
  if (m_admitted.account == nullptr) {
    return;
  }
  const core::AccountId& account = m_admitted.account->name;
  const auto figures = m_context.book.FiguresOf(account);
  line.Text("account", account.value())
      .Number("tokens_most", MaxTokens().value())
      .Number("total", figures.total.value_or(core::Tokens(0)).value())
      .Number("elsewhere", figures.others.value())
      .Number("lost", figures.lost.value())
      .Number("free", figures.free.value())
      .Number("ceiling", figures.ceiling.value())
      .Number("spent", figures.spent.value())
      .Number("reserved", figures.reserved.value())
      .Flag("by_gift", m_from_transfer);
}

void Exchange::DescribeAttempts(LogLine& line) const {
  if (!m_tried.empty()) {
    line.Text("upstream", m_tried.back().value())
        .Text("placed_by", entry::ToString(m_last_placement.why))
        .Number("cost", static_cast<int64_t>(m_last_placement.cost))
        .Number("candidates", m_last_placement.candidates)
        .Number("reporting", m_last_placement.reporting)
        .Text("told_by", m_last_placement.table.router.value())
        .Number("routers_asked", m_last_placement.table.routers_asked)
        .Millis("table_age_ms", m_last_placement.table.age)
        .Flag("table_outdated", m_last_placement.table.outdated)
        .Number("sends", m_sent_attempts)
        .Text("relay", m_last_relay);
  }
  if (!m_facts.resume_after.empty()) {
    line.Text("resume_after", m_facts.resume_after)
        .Text("resumes", m_facts.resumes);
  }
  if (!m_event_versions.empty()) {
    line.Text("event_versions", Join(m_event_versions));
  }
  if (!m_facts.shared_parts.empty()) {
    line.Text("prompt_parts", Join(m_facts.shared_parts));
  }
  if (m_fingerprint) {
    line.Text("content", m_fingerprint->ShortHex());
  }
  if (!m_last_failure.empty()) {
    line.Text("why", m_last_failure);
  }
}

void Exchange::DescribeResponse(LogLine& line) const {
  if (m_head) {
    line.Text("framing", FramingOf(*m_head))
        .Number("unfinished_event", static_cast<int64_t>(m_unfinished_event));
  }
  line.Number("events", static_cast<int64_t>(m_sse_splitter.events()))
      .Millis("first_ms", m_first_byte)
      .Millis("whole_ms", net::BootNow() - m_request.arrived)
      .Number("store_up", m_context.contact.up() ? 1 : 0);
}

std::optional<core::TimePoint> Exchange::UpstreamTimeoutAt() const {
  if (!m_attempt || !Retryable() ||
      m_sent_attempts + 1 >= m_admitted.route->max_attempts) {
    return std::nullopt;
  }
  const entry::Route& route = *m_admitted.route;
  if (!m_response_begun) {
    return m_last_activity + std::max(route.target_latency * kTimeoutFactor,
                                      kMinFirstByteTimeout);
  }
  if (!IsStream()) {
    return std::nullopt;
  }
  return m_last_activity +
         std::max(route.target_gap * kTimeoutFactor, kMinGapTimeout);
}

void Exchange::ArmTimer() {
  core::TimePoint next = m_deadline;
  if (m_wait_until && !m_transfer_pending) {
    next = std::min(next, *m_wait_until);
  }
  if (const auto timeout_at = UpstreamTimeoutAt()) {
    next = std::min(next, *timeout_at);
  }
  if (m_attempt && m_attempt->discard_until) {
    next = std::min(next, *m_attempt->discard_until);
  }
  const core::Duration wait = next - net::BootNow();
  m_timer.expires_after(std::max(wait, core::Duration(1'000)));
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self && !self->m_done) {
          self->OnTimer();
        }
      });
}

void Exchange::OnTimer() {
  const core::TimePoint now = net::BootNow();
  if (now >= m_deadline) {
    const bool sent = m_attempt && m_attempt->connection->sent_any();
    if (m_attempt) {
      AbortAttempt(m_response_begun ? AttemptOutcome::kBroken
                                    : AttemptOutcome::kSilent);
    }
    if (sent || m_may_have_run) {
      Fail({core::ErrorId::kUpstreamSilent, m_last_failure,
            "no answer within the limit"});
    } else {
      Refuse({core::ErrorId::kQueueTimeout, m_admitted.service.value(),
              "not sent to an upstream within the limit"},
             kRetrySoon);
    }
    return;
  }
  if (m_attempt && m_attempt->discard_until &&
      now >= *m_attempt->discard_until) {
    EndDiscarded();
    return;
  }
  if (m_wait_until && now >= *m_wait_until && !m_transfer_pending) {
    WaitForGrant();
    return;
  }
  const auto timeout_at = UpstreamTimeoutAt();
  if (timeout_at && now >= *timeout_at && TakeRetry()) {
    AbortAttempt(AttemptOutcome::kSilent);
    DiscardResponse();
    Place();
    return;
  }
  if (timeout_at && now >= *timeout_at) {
    // No retry is allowed now; check again after another timeout.
    m_last_activity = now;
  }
  ArmTimer();
}

}  // namespace coppervalve::gateway
