#include "coppervalve/gateway/exchange.h"

#include <utility>  // move, exchange

#include "come_back.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;

// An answer of a plain service is held until it is whole, up to this size, so
// that a broken one can be replaced by the truth.
constexpr size_t kHeldAnswer = 262'144;
constexpr size_t kMostUnsent = 262'144;
constexpr int kServerError = 500;
// What any request costs an upstream, so that paces of small ones compare.
constexpr double kCostOfAny = 1;

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

http1::HeaderList ForCaller(const http1::ResponseHead& head) {
  http1::HeaderList headers;
  for (const http1::Header& header : head.headers) {
    if (!http1::IsHopByHop(head.headers, header.name)) {
      headers.Add(header.name, header.value);
    }
  }
  return headers;
}

}  // namespace

std::string Exchange::RequestText(const SendFacts& facts) const {
  const http1::RequestHead& head = m_request.head;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  for (const http1::Header& header :
       m_context.dialect.upstream_headers(head, facts)) {
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
  SendFacts facts;
  facts.left = m_limit_at - now;
  facts.upstream = upstream->entry.id;
  facts.has_accounts = m_admitted.configuration_index->has_accounts();
  if (m_admitted.account != nullptr) {
    facts.account = m_admitted.account->name;
  }
  facts.priority = m_admitted.priority;
  facts.resume_after =
      AfterAnEvent() ? m_cutter.last_id() : m_facts.resume_after;
  m_tried.push_back(upstream->entry.id);

  Attempt attempt;
  attempt.upstream = upstream;
  attempt.began = now;
  attempt.resumed = AfterAnEvent();
  attempt.connection = m_context.pool.Take(*upstream, !Repeatable(), now);
  m_attempt = attempt;
  m_attempt->reading = placement.own_prefill;
  m_attempt->total_prefill = placement.total_prefill;
  m_attempt->cost = placement.cost;
  ++upstream->in_flight;
  upstream->in_prefill += m_attempt->reading;
  if (!m_facts.shared_prefix.empty()) {
    upstream->prefixes.Insert(core::Hash64(m_facts.shared_prefix), now);
  }
  m_watch_from = now;
  if (attempt.connection->connected()) {
    m_context.gate.OnSend(*upstream, now);
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  attempt.connection->Send(
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
       // Holds the exchange for as long as the attempt goes on.
       [self = shared_from_this()](AttemptEnd end, std::string_view why) {
         self->OnEnd(end, why);
       },
       [this, upstream] { return PassGate(*upstream); }});
  ArmTimer();
}

// While the connection was opened the upstream may have left, or its failure
// domain may have been evacuated.
bool Exchange::PassGate(entry::Upstream& upstream) const {
  const core::TimePoint now = net::BootNow();
  if (upstream.entry.leaving ||
      m_context.gate.StateOf(upstream, now) != entry::GateState::kOpen) {
    return false;
  }
  m_context.gate.OnSend(upstream, now);
  return true;
}

void Exchange::OnHead(const http1::ResponseHead& head) {
  Attempt& attempt = *m_attempt;
  attempt.answer = m_context.dialect.read_answer(head);
  m_watch_from = net::BootNow();
  HeedUpstream();
  EndReading();
  attempt.upstream->health.OnFirstByte(m_watch_from - attempt.began,
                                       attempt.cost + kCostOfAny);
  if (attempt.total_prefill > 0 && IsSuccess(head.status)) {
    m_context.pace.AddSample(m_admitted.service, attempt.total_prefill,
                             m_watch_from - attempt.began);
  }
  const std::string& echoed = attempt.answer.request_id;
  const bool of_another = !echoed.empty() && echoed != m_facts.id;
  if (of_another || (IsSuccess(head.status) && !attempt.answer.genuine)) {
    // A late answer to an earlier request, or no answer of this upstream.
    CutAttempt(AttemptOutcome::kBroken);
    OnBroken(of_another ? "the answer of another request"
                        : "an answer without its signature");
    return;
  }
  if (attempt.resumed && !IsSuccess(head.status)) {
    return;  // judged when it is whole
  }
  if (!attempt.resumed) {
    m_head = head;
  }
  attempt.passing_on = IsStream() && IsSuccess(head.status);
}

void Exchange::OnBody(const std::string& body) {
  Attempt& attempt = *m_attempt;
  m_watch_from = net::BootNow();
  if (attempt.passing_on && !IsStream()) {
    PassOn(body);
    return;
  }
  if (attempt.passing_on) {
    const std::string whole = m_cutter.Feed(body);
    if (!whole.empty()) {
      PassOn(whole);
    }
    return;
  }
  if (attempt.answer.not_run || attempt.resumed) {
    return;
  }
  m_body += body;
  if (m_body.size() > kHeldAnswer) {
    attempt.passing_on = true;
    PassOn(std::exchange(m_body, {}));
  }
}

void Exchange::PassOn(std::string_view bytes) {
  if (!m_answer_begun) {
    m_answer_begun = true;
    m_first_byte = net::BootNow() - m_request.arrived;
    m_context.metrics.OnFirstByte(m_admitted.route->kind, m_first_byte);
    const bool known_length = !IsStream() && m_head->length;
    m_caller->BeginAnswer(m_head->status, m_head->reason, ForCaller(*m_head),
                          known_length ? m_head->length : std::nullopt);
  }
  m_caller->SendBody(bytes);
  if (m_done || !m_attempt || m_caller->unsent() <= kMostUnsent) {
    return;
  }
  m_attempt->connection->PauseReading();
  m_caller->WatchDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->m_attempt) {
      self->m_attempt->connection->ResumeReading();
    }
  });
}

void Exchange::EndReading() {
  m_attempt->upstream->in_prefill -= std::exchange(m_attempt->reading, 0);
}

void Exchange::LeaveUpstream(AttemptOutcome outcome) {
  entry::Upstream& upstream = *m_attempt->upstream;
  --upstream.in_flight;
  EndReading();
  upstream.health.On(outcome, net::BootNow());
  m_context.gate.OnOutcome(upstream, outcome, net::BootNow());
  m_context.metrics.OnAttempt(NameOf(outcome));
  if (outcome != AttemptOutcome::kAnswered) {
    m_last_failure =
        upstream.entry.id.value() + " " + std::string(NameOf(outcome));
  }
}

void Exchange::CutAttempt(AttemptOutcome outcome) {
  const bool sent = m_attempt->connection->sent_any();
  m_sends += sent ? 1 : 0;
  m_may_have_run = m_may_have_run || sent;
  if (sent && outcome == AttemptOutcome::kSilent) {
    m_context.crashes.OnBroken(m_attempt->upstream, Print());
  }
  m_attempt->connection->Cancel();
  LeaveUpstream(outcome);
  m_attempt.reset();
}

void Exchange::OnEnd(AttemptEnd end, std::string_view why) {
  if (m_done || !m_attempt) {
    return;
  }
  if (end == AttemptEnd::kNotSent || end == AttemptEnd::kWithheld) {
    LeaveUpstream(end == AttemptEnd::kNotSent ? AttemptOutcome::kUnreachable
                                              : AttemptOutcome::kWithheld);
    m_attempt.reset();
    // Nothing left this router: any other upstream may have it.
    Place();
    return;
  }
  ++m_sends;
  if (end == AttemptEnd::kBroken) {
    m_may_have_run = true;
    m_context.crashes.OnBroken(m_attempt->upstream, Print());
    LeaveUpstream(AttemptOutcome::kBroken);
    m_attempt.reset();
    OnBroken(why);
    return;
  }
  KeepConnection();
  if (m_attempt->answer.not_run) {
    OnDeclined();
    return;
  }
  m_may_have_run = true;
  OnWhole();
}

// The upstream may have started again, or left, while it answered: what is kept
// under its id then belongs to another start.
void Exchange::KeepConnection() {
  const core::UpstreamId& id = m_attempt->upstream->entry.id;
  const bool of_use = !m_attempt->upstream->entry.leaving &&
                      m_context.directory.Find(id) == m_attempt->upstream;
  if (of_use) {
    m_context.pool.Give(id, m_attempt->connection, net::BootNow());
  } else {
    m_attempt->connection->Close();
  }
}

// An upstream's own word is the only proof that a request it was sent did not
// run.
void Exchange::OnDeclined() {
  if (m_attempt->answer.other_upstream) {
    m_context.crashes.OnEnded(m_attempt->upstream->entry, "address_taken");
  }
  LeaveUpstream(m_attempt->answer.other_upstream ? AttemptOutcome::kMisaddressed
                                                 : AttemptOutcome::kDeclined);
  m_attempt.reset();
  ForgetAnswer();
  if (TakeRepeat()) {
    Place();
    return;
  }
  if (m_may_have_run) {
    Fail({core::ErrorId::kUpstreamFailed, m_admitted.service.value(),
          m_last_failure});
    return;
  }
  RefuseForWantOfUpstreams(m_last_failure);
}

void Exchange::OnWhole() {
  const bool resumed = m_attempt->resumed;
  const bool failed =
      resumed ? !m_attempt->passing_on : m_head->status >= kServerError;
  LeaveUpstream(failed ? AttemptOutcome::kOwnFailure
                       : AttemptOutcome::kAnswered);
  const bool streamed = m_attempt->passing_on;
  m_attempt.reset();
  TellSurvived();
  if (failed && resumed) {
    OnBroken("the stream could not be resumed");
    return;
  }
  if (failed && Repeatable() && TakeRepeat()) {
    ForgetAnswer();
    Place();
    return;
  }
  const int status = m_head->status;
  if (streamed) {
    // Bytes behind the last event: the upstream ended its stream with them.
    PassOn(m_cutter.TakeTail());
    m_caller->EndAnswer();
  } else {
    m_first_byte = net::BootNow() - m_request.arrived;
    m_context.metrics.OnFirstByte(m_admitted.route->kind, m_first_byte);
    const bool head_only = m_request.head.method == "HEAD";
    m_caller->BeginAnswer(
        status, m_head->reason, ForCaller(*m_head),
        head_only && m_head->length ? *m_head->length : m_body.size());
    m_caller->SendBody(m_body);
    m_caller->EndAnswer();
  }
  m_context.metrics.OnServed(m_admitted.route->kind,
                             net::BootNow() - m_request.arrived);
  Finish(failed ? "upstream_answered_failure" : "served", status);
}

void Exchange::OnBroken(std::string_view why) {
  ForgetAnswer();
  const bool can_go_on =
      Repeatable() && (!m_answer_begun || (IsStream() && AfterAnEvent()));
  if (can_go_on && TakeRepeat()) {
    Place();
    return;
  }
  Fail({core::ErrorId::kUpstreamFailed, m_last_failure, std::string(why)});
}

// What was not passed on of a broken answer is never joined with another.
void Exchange::ForgetAnswer() {
  m_cutter.TakeTail();
  if (!m_answer_begun) {
    m_head.reset();
    m_body.clear();
  }
}

bool Exchange::TakeRepeat() {
  if (m_sends >= m_admitted.route->max_attempts ||
      Left() <= core::Duration::zero()) {
    return false;
  }
  // One arrival of what ends its upstreams costs one of them, not two.
  if (StandingNow() != entry::QuarantineState::kClear) {
    return false;
  }
  return m_context.retries.Take(m_admitted.service, m_context.members.Live(),
                                net::BootNow());
}

}  // namespace coppervalve::gateway
