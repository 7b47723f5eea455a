#include "coppervalve/gateway/exchange.h"

#include <utility>  // move, exchange

#include "coppervalve/core/hash.h"
#include "coppervalve/net/clock.h"
#include "retry_after.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;

// Responses of plain services are buffered up to this size until they are
// complete, so that a broken one can be replaced by a retry or an error.
constexpr size_t kMaxBufferedResponse = 262'144;
constexpr size_t kMaxUnsent = 262'144;
constexpr int kServerError = 500;
// Base cost of every request, so that response times of small requests are
// comparable.
constexpr double kBaseRequestCost = 1;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

std::string_view NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kOwnFailure:
      return "own_failure";
    case AttemptOutcome::kDeclined:
      return "declined";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kWithheld:
      return "withheld";
    case AttemptOutcome::kMisaddressed:
      break;
  }
  return "misaddressed";
}

// Upstreams may leave the type out.
bool IsEventStream(const http1::ResponseHead& head) {
  const std::string* type = head.headers.Find("content-type");
  return type == nullptr || type->starts_with("text/event-stream");
}

http1::HeaderList CallerHeaders(const http1::ResponseHead& head) {
  http1::HeaderList headers;
  for (const http1::Header& header : head.headers) {
    if (!http1::IsHopByHop(head.headers, header.name)) {
      headers.Add(header.name, header.value);
    }
  }
  return headers;
}

}  // namespace

std::string Exchange::RequestText(const UpstreamRequestContext& facts) const {
  const http1::RequestHead& head = m_request.head;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  for (const http1::Header& header :
       m_context.adapter.upstream_headers(head, facts)) {
    text += header.name + ": " + header.value + "\r\n";
  }
  const bool framed = head.headers.Find("content-length") != nullptr ||
                      head.headers.Find("transfer-encoding") != nullptr;
  if (framed || !m_request.body.empty()) {
    text += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += m_request.body;
  return text;
}

void Exchange::Send(const entry::Placement& placement) {
  const core::TimePoint now = net::BootNow();
  const entry::UpstreamRef& upstream = placement.upstream;
  UpstreamRequestContext facts;
  facts.time_left = m_deadline - now;
  facts.upstream = upstream->entry.id;
  facts.has_accounts = m_admitted.configuration_index->has_accounts();
  if (m_admitted.account != nullptr) {
    facts.account = m_admitted.account->name;
  }
  facts.priority = m_admitted.priority;
  facts.resume_after =
      HasEvents() ? m_sse_splitter.last_id() : m_facts.resume_after;
  m_tried.push_back(upstream->entry.id);

  Attempt attempt;
  attempt.upstream = upstream;
  attempt.started_at = now;
  attempt.resumed = HasEvents();
  m_attempt = attempt;
  Connect(upstream, now);
  m_attempt->prefill_cost = placement.own_prefill;
  m_attempt->total_prefill = placement.total_prefill;
  m_attempt->cost = placement.cost;
  ++upstream->in_flight;
  m_context.directory.MarkBusy(upstream);
  upstream->in_prefill += m_attempt->prefill_cost;
  if (!m_facts.shared_prefix.empty()) {
    upstream->prefixes.Insert(core::Hash64(m_facts.shared_prefix), now);
  }
  m_last_activity = now;
  if (!m_attempt->opening) {
    m_context.gate.OnSend(*upstream, now);
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  m_attempt->connection->Send(
      RequestText(facts), m_request.head.method == "HEAD",
      {[weak](const http1::ResponseHead& head) {
         if (const auto self = weak.lock()) {
           self->OnHead(head);
         }
       },
       [weak](const std::string& body) {
         if (const auto self = weak.lock()) {
           self->OnBody(body);
         }
       },
       // Keeps the exchange alive until the attempt ends.
       [self = shared_from_this()](AttemptEnd end, std::string_view why) {
         self->OnEnd(end, why);
       },
       [this, upstream] { return MaySendNow(*upstream); }});
  ArmTimer();
}

void Exchange::Connect(const entry::UpstreamRef& upstream,
                       core::TimePoint now) {
  Attempt& attempt = *m_attempt;
  const std::optional<std::string> relay =
      m_context.reach.RelayFor(upstream->entry, now);
  attempt.relay = relay.value_or(std::string());
  m_last_relay = attempt.relay;
  attempt.connection =
      relay ? m_context.pool.OpenThrough(*relay, upstream->entry.id)
            : m_context.pool.Acquire(*upstream, !Retryable(), now);
  attempt.opening = !attempt.connection->connected();
}

// The upstream may have left, or its failure domain may have been evacuated,
// while the connection was being opened.
bool Exchange::MaySendNow(entry::Upstream& upstream) {
  const core::TimePoint now = net::BootNow();
  m_attempt->opening = false;
  m_context.reach.OnOpened(upstream.entry, m_attempt->relay, now);
  if (upstream.entry.leaving ||
      m_context.gate.StateOf(upstream, now) != entry::GateState::kOpen) {
    return false;
  }
  m_context.gate.OnSend(upstream, now);
  return true;
}

void Exchange::OnHead(const http1::ResponseHead& head) {
  Attempt& attempt = *m_attempt;
  attempt.answer = m_context.adapter.read_answer(head);
  m_last_activity = net::BootNow();
  HandleUpstreamSignals();
  EndPrefill();
  attempt.upstream->health.OnFirstByte(m_last_activity - attempt.started_at,
                                       attempt.cost + kBaseRequestCost);
  if (attempt.total_prefill > 0 && IsSuccess(head.status)) {
    m_context.pace.AddSample(m_admitted.service, attempt.total_prefill,
                             m_last_activity - attempt.started_at);
  }
  const std::string& echoed = attempt.answer.request_id;
  const bool wrong_request = !echoed.empty() && echoed != m_facts.id;
  if (wrong_request || (IsSuccess(head.status) && !attempt.answer.genuine)) {
    // A late response to an earlier request, or not from this upstream.
    AbortAttempt(AttemptOutcome::kBroken);
    OnBroken(wrong_request ? "response to another request"
                           : "response without a valid signature");
    return;
  }
  if (attempt.resumed && !IsSuccess(head.status)) {
    return;  // handled in OnComplete()
  }
  if (!attempt.resumed) {
    m_head = head;
  }
  attempt.ends_with_connection = head.ends_with_connection;
  attempt.events = IsStream() && IsSuccess(head.status) && IsEventStream(head);
  attempt.forwarding = attempt.events;
}

void Exchange::OnBody(const std::string& body) {
  Attempt& attempt = *m_attempt;
  m_last_activity = net::BootNow();
  if (attempt.forwarding && !attempt.events) {
    ForwardToCaller(body);
    return;
  }
  if (attempt.forwarding) {
    const std::string whole = m_sse_splitter.Feed(body);
    if (!whole.empty()) {
      ForwardToCaller(whole);
    }
    return;
  }
  if (attempt.answer.not_run || attempt.resumed) {
    return;
  }
  m_body += body;
  if (m_body.size() > kMaxBufferedResponse) {
    attempt.forwarding = true;
    ForwardToCaller(std::exchange(m_body, {}));
  }
}

void Exchange::ForwardToCaller(std::string_view bytes) {
  if (!m_response_begun) {
    m_response_begun = true;
    m_first_byte = net::BootNow() - m_request.arrived;
    m_context.metrics.OnFirstByte(m_admitted.route->kind, m_first_byte);
    const bool known_length = !IsStream() && m_head->length;
    m_caller->BeginResponse(m_head->status, m_head->reason,
                            CallerHeaders(*m_head),
                            known_length ? m_head->length : std::nullopt);
  }
  m_caller->SendBody(bytes);
  if (m_done || !m_attempt || m_caller->unsent() <= kMaxUnsent) {
    return;
  }
  m_attempt->connection->PauseReading();
  m_caller->SetDrainedHandler([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->m_attempt) {
      self->m_attempt->connection->ResumeReading();
    }
  });
}

void Exchange::EndPrefill() {
  m_attempt->upstream->in_prefill -= std::exchange(m_attempt->prefill_cost, 0);
}

void Exchange::RecordOutcome(AttemptOutcome outcome) {
  entry::Upstream& upstream = *m_attempt->upstream;
  --upstream.in_flight;
  EndPrefill();
  upstream.health.On(outcome, net::BootNow());
  m_context.gate.OnOutcome(upstream, outcome, net::BootNow());
  m_context.metrics.OnAttempt(NameOf(outcome));
  if (outcome != AttemptOutcome::kAnswered) {
    m_last_failure =
        upstream.entry.id.value() + " " + std::string(NameOf(outcome));
  }
}

void Exchange::AbortAttempt(AttemptOutcome outcome) {
  const bool sent = m_attempt->connection->sent_any();
  if (sent) {
    ++m_sent_attempts;
    m_sent_to.push_back(m_attempt->upstream->entry.id);
    m_may_have_run = true;
  }
  if (sent && outcome == AttemptOutcome::kSilent) {
    m_context.crash_monitor.OnBroken(m_attempt->upstream, Fingerprint());
  }
  m_attempt->connection->Cancel();
  RecordOutcome(outcome);
  m_attempt.reset();
}

void Exchange::OnEnd(AttemptEnd end, std::string_view why) {
  if (m_done || !m_attempt) {
    return;
  }
  m_unfinished_event = m_sse_splitter.buffered_bytes();
  if (end == AttemptEnd::kComplete && IsCutStream()) {
    m_attempt->connection->Close();
    end = AttemptEnd::kBroken;
    why = "the stream ended inside an event";
  }
  if (end == AttemptEnd::kComplete && IsEndInDoubt()) {
    CheckEnd();
    return;
  }
  if (end == AttemptEnd::kNotSent || end == AttemptEnd::kWithheld) {
    OnNotSent(end, why);
    return;
  }
  ++m_sent_attempts;
  m_sent_to.push_back(m_attempt->upstream->entry.id);
  if (end == AttemptEnd::kBroken) {
    m_may_have_run = true;
    m_context.crash_monitor.OnBroken(m_attempt->upstream, Fingerprint());
    RecordOutcome(AttemptOutcome::kBroken);
    m_attempt.reset();
    OnBroken(why);
    return;
  }
  ReturnConnection();
  if (m_attempt->answer.not_run) {
    OnDeclined();
    return;
  }
  m_may_have_run = true;
  OnComplete();
}

// No byte was sent, so any other upstream may get the request.
void Exchange::OnNotSent(AttemptEnd end, std::string_view why) {
  AttemptOutcome outcome = AttemptOutcome::kUnreachable;
  if (end == AttemptEnd::kWithheld) {
    outcome = AttemptOutcome::kWithheld;
  } else if (m_attempt->opening) {
    outcome = m_attempt->relay.empty() ? OnDirectConnectFailed()
                                       : OnRelayedConnectFailed();
  }
  RecordOutcome(outcome);
  m_last_failure += ": " + std::string(why);
  const bool give_up =
      m_attempt->opening && m_attempt->relay.empty() &&
      m_context.reach.NobodyReaches(m_admitted.service, net::BootNow());
  m_attempt.reset();
  if (give_up) {
    EndWithoutUpstream(m_last_failure);
    return;
  }
  Place();
}

// If other routers reach the upstream, the fault is not its own, and it may be
// tried again.
AttemptOutcome Exchange::OnDirectConnectFailed() {
  const entry::UpstreamEntry& upstream = m_attempt->upstream->entry;
  const core::TimePoint now = net::BootNow();
  m_context.reach.OnFailed(upstream, now);
  if (!m_context.reach.RelayFor(upstream, now)) {
    return AttemptOutcome::kUnreachable;
  }
  m_tried = m_sent_to;
  return AttemptOutcome::kWithheld;
}

AttemptOutcome Exchange::OnRelayedConnectFailed() {
  const auto result = m_attempt->connection->relay_result();
  if (result == RelayResult::kRefused || result == RelayResult::kUnreachable) {
    return AttemptOutcome::kUnreachable;
  }
  m_context.reach.OnRelayFailed(m_attempt->relay, net::BootNow());
  m_tried.pop_back();
  return AttemptOutcome::kWithheld;
}

// A crashed upstream's kernel closes its connections in the same way as one
// that has finished. Where only this ends a stream, the last event has to be
// whole, and there has to be one.
bool Exchange::IsCutStream() const {
  if (!m_attempt->events) {
    return false;
  }
  return m_sse_splitter.InsideEvent() ||
         (m_attempt->ends_with_connection && !HasEvents());
}

// An upstream that is leaving may end its process after the response.
bool Exchange::IsEndInDoubt() const {
  return m_attempt->ends_with_connection && !m_attempt->end_checked &&
         !m_attempt->upstream->entry.leaving;
}

// A crash between two events, or within a plain body, leaves no other trace
// than an upstream that refuses connections.
void Exchange::CheckEnd() {
  m_attempt->end_checked = true;
  m_context.reach.CheckRefuses(
      m_attempt->upstream->entry, m_attempt->relay,
      [weak = weak_from_this(),
       connection = m_attempt->connection](bool refused) {
        const auto self = weak.lock();
        if (!self || !self->m_attempt ||
            self->m_attempt->connection != connection) {
          return;
        }
        self->OnEnd(refused ? AttemptEnd::kBroken : AttemptEnd::kComplete,
                    "the upstream crashed");
      });
}

// The upstream may have restarted or left while it responded. Then the pooled
// connections under its id belong to another instance.
void Exchange::ReturnConnection() {
  const core::UpstreamId& id = m_attempt->upstream->entry.id;
  const bool reusable = !m_attempt->upstream->entry.leaving &&
                        m_context.directory.Find(id) == m_attempt->upstream;
  if (reusable) {
    m_context.pool.Release(id, m_attempt->connection, net::BootNow());
  } else {
    m_attempt->connection->Close();
  }
}

// Only the upstream's own statement proves that a request sent to it did not
// run.
void Exchange::OnDeclined() {
  if (m_attempt->answer.misdirected) {
    m_context.crash_monitor.OnTerminated(m_attempt->upstream->entry,
                                         "address_taken");
  }
  RecordOutcome(m_attempt->answer.misdirected ? AttemptOutcome::kMisaddressed
                                              : AttemptOutcome::kDeclined);
  m_attempt.reset();
  DiscardResponse();
  if (TakeRetry()) {
    Place();
    return;
  }
  EndWithoutUpstream(m_last_failure);
}

void Exchange::OnComplete() {
  const bool resumed = m_attempt->resumed;
  const bool failed =
      resumed ? !m_attempt->forwarding : m_head->status >= kServerError;
  RecordOutcome(failed ? AttemptOutcome::kOwnFailure
                       : AttemptOutcome::kAnswered);
  const bool streamed = m_attempt->forwarding;
  m_attempt.reset();
  ReportSurvived();
  if (failed && resumed) {
    OnBroken("stream could not be resumed");
    return;
  }
  if (failed && Retryable() && TakeRetry()) {
    DiscardResponse();
    Place();
    return;
  }
  const int status = m_head->status;
  if (streamed) {
    // Comments and blank lines after the last event.
    ForwardToCaller(m_sse_splitter.TakePartialEvent());
    m_caller->EndResponse();
  } else {
    m_first_byte = net::BootNow() - m_request.arrived;
    m_context.metrics.OnFirstByte(m_admitted.route->kind, m_first_byte);
    const bool head_only = m_request.head.method == "HEAD";
    m_caller->BeginResponse(
        status, m_head->reason, CallerHeaders(*m_head),
        head_only && m_head->length ? *m_head->length : m_body.size());
    m_caller->SendBody(m_body);
    m_caller->EndResponse();
  }
  m_context.metrics.OnServed(m_admitted.route->kind,
                             net::BootNow() - m_request.arrived);
  Finish(failed ? "upstream_answered_failure" : "served", status);
}

void Exchange::OnBroken(std::string_view why) {
  DiscardResponse();
  const bool can_go_on =
      Retryable() && (!m_response_begun || (IsStream() && HasEvents()));
  if (can_go_on && TakeRetry()) {
    Place();
    return;
  }
  Fail({core::ErrorId::kUpstreamFailed, m_last_failure, std::string(why)});
}

// Drops the unsent part of a broken response, so that it is never combined with
// another response.
void Exchange::DiscardResponse() {
  m_sse_splitter.TakePartialEvent();
  if (!m_response_begun) {
    m_head.reset();
    m_body.clear();
  }
}

bool Exchange::TakeRetry() {
  if (m_sent_attempts >= m_admitted.route->max_attempts ||
      TimeLeft() <= core::Duration::zero()) {
    return false;
  }
  // A request that crashes upstreams must not crash a second one before its
  // caller sends it again.
  if (CurrentQuarantineState() != entry::QuarantineState::kClear) {
    return false;
  }
  return m_context.retries.Take(m_admitted.service,
                                m_context.members.LiveCount(), net::BootNow());
}

}  // namespace coppervalve::gateway
