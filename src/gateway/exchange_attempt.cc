#include "coppervalve/gateway/exchange.h"

#include <optional>  // optional
#include <utility>   // move, exchange

#include "coppervalve/core/hash.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;

// An unfinished event is kept until it is complete.
constexpr size_t kMaxEvent = 262'144;
// What each response may keep, whatever all together hold.
constexpr size_t kMinUnfinished = 16'384;
// What is read of the body of a response that is not forwarded, so that its
// connection can be used again.
constexpr size_t kMaxDiscarded = 65'536;
constexpr core::Duration kMaxDiscardTime{250'000};
// Base cost of every request, so that response times of small requests are
// comparable.
constexpr double kBaseRequestCost = 1;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
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
  attempt.version = upstream->entry.version;
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
       [this, upstream] { return MaySendNow(*upstream); },
       [this](size_t bytes) {
         m_held_by_connection = bytes;
         return MayHold(bytes);
       }});
  ArmTimer();
}

void Exchange::Connect(const entry::UpstreamRef& upstream,
                       core::TimePoint now) {
  Attempt& attempt = *m_attempt;
  const std::optional<std::string> relay =
      m_context.reach.RelayFor(upstream->entry, m_relay_refusals.relays(), now);
  attempt.relay = relay.value_or(std::string());
  m_last_relay = attempt.relay;
  attempt.connection =
      relay ? m_context.pool.OpenThrough(*relay, upstream->entry.id)
            : m_context.pool.Acquire(*upstream, !Retryable(), now);
  attempt.opening = !attempt.connection->connected();
}

// While the connection was being opened, the upstream may have left, its
// failure domain may have been evacuated, the request may have been
// quarantined, or the time of a drain may have ended.
bool Exchange::MaySendNow(entry::Upstream& upstream) {
  const core::TimePoint now = net::BootNow();
  m_attempt->opening = false;
  m_context.reach.OnOpened(upstream.entry, m_attempt->relay, now);
  if (upstream.entry.leaving || (IsShuttingDown() && !m_response_begun) ||
      m_context.gate.StateOf(upstream, now) != entry::GateState::kOpen ||
      CurrentSuspicion().state == entry::QuarantineState::kQuarantined) {
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
  const bool failed_resumption = attempt.resumed && !IsSuccess(head.status);
  if (!attempt.resumed) {
    m_head = head;
  }
  if (!failed_resumption) {
    attempt.ends_with_connection = head.ends_with_connection;
    attempt.events =
        IsStream() && IsSuccess(head.status) && IsEventStream(head);
    attempt.forwarding = attempt.events;
  }
  if (!attempt.forwarding && (attempt.answer.not_run || attempt.resumed)) {
    attempt.discard_until = m_last_activity + kMaxDiscardTime;
    ArmTimer();
  }
}

void Exchange::OnBody(const std::string& body) {
  Attempt& attempt = *m_attempt;
  if (attempt.forwarding && attempt.events) {
    OnEventBytes(body);
    return;
  }
  m_last_activity = net::BootNow();
  if (attempt.forwarding) {
    ForwardToCaller(body);
    return;
  }
  if (attempt.discard_until) {
    attempt.discarded += body.size();
    if (attempt.discarded > kMaxDiscarded) {
      EndDiscarded();
    }
    return;
  }
  // Responses of plain services are buffered until they are complete, so that a
  // broken one can be replaced by a retry or an error.
  m_body += body;
  if (m_body.size() > m_caller->max_unsent()) {
    attempt.forwarding = true;
    ForwardToCaller(std::exchange(m_body, {}));
  }
  UpdateBuffered();
}

// What upstreams leave unfinished has no end of its own, and their callers
// can't be ended without a reason: so the response that grows gives way, as
// broken.
bool Exchange::MayHold(size_t unfinished) {
  UpdateBuffered();
  return unfinished <= kMinUnfinished || m_caller->HasRoom();
}

void Exchange::UpdateBuffered() {
  m_caller->SetBuffered(m_held_by_connection + m_body.capacity() +
                        m_sse_splitter.held_bytes() +
                        (m_head ? m_head->headers.held_bytes() : 0));
}

// Comments and parts of an event do not reset the timeout: a failing upstream
// may send them without end.
void Exchange::OnEventBytes(const std::string& body) {
  const uint64_t before = m_sse_splitter.events();
  const std::string whole = m_sse_splitter.Feed(body);
  if (m_sse_splitter.events() > before) {
    m_last_activity = net::BootNow();
  }
  const size_t unfinished = m_sse_splitter.buffered_bytes();
  const bool may_hold = MayHold(unfinished);
  if (!whole.empty()) {
    ForwardEvents(whole);
  }
  if (!m_done && m_attempt && (unfinished > kMaxEvent || !may_hold)) {
    AbortAttempt(AttemptOutcome::kBroken);
    OnBroken(may_hold ? "an event exceeds the size limit"
                      : "an unfinished event holds too much");
  }
}

// The head has told what matters, and the caller waits.
void Exchange::EndDiscarded() {
  m_attempt->discard_until.reset();
  m_attempt->end_checked = true;
  m_attempt->connection->Cancel();
  OnEnd(AttemptEnd::kComplete, {});
}

void Exchange::ForwardEvents(const std::string& events) {
  const core::UpstreamVersion version = m_attempt->version;
  if (!m_attempt->first_event_at) {
    m_attempt->first_event_at = net::BootNow();
  }
  if (m_event_versions.empty()) {
    m_stream_version = version;
    if (Retryable()) {
      m_context.on_stream_start({StreamId(), m_admitted.service, version});
    }
  }
  if (m_event_versions.empty() || m_event_versions.back() != version) {
    m_event_versions.push_back(version);
  }
  ForwardToCaller(events);
}

void Exchange::BeginResponse(std::optional<uint64_t> length) {
  m_response_begun = true;
  m_first_byte = net::BootNow() - m_request.arrived;
  m_context.metrics.OnFirstByte(m_admitted.route->kind, m_first_byte);
  m_caller->BeginResponse(m_head->status, m_head->reason,
                          CallerHeaders(*m_head), length);
}

void Exchange::ForwardToCaller(std::string_view bytes) {
  if (!m_response_begun) {
    BeginResponse(IsStream() ? std::nullopt : m_head->length);
  }
  m_caller->SendBody(bytes);
  if (m_done || !m_attempt || m_caller->unsent() <= m_caller->max_unsent()) {
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

}  // namespace coppervalve::gateway
