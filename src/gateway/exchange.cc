#include "coppervalve/gateway/exchange.h"

#include <algorithm>  // min, max
#include <chrono>     // milliseconds
#include <utility>    // move

#include "coppervalve/core/hash.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;
using entry::RouteKind;
using std::chrono::milliseconds;

// Placements without a byte sent: an upstream that is gone costs a connection
// attempt each.
constexpr uint32_t kMostTries = 6;
// An answer of a plain service is held until it is whole, up to this size, so
// that a broken one can be replaced by the truth.
constexpr size_t kHeldAnswer = 262'144;
constexpr size_t kMostUnsent = 262'144;
constexpr core::Duration kGrantWait{400'000};
constexpr core::Duration kLeastFirstByteWatch{250'000};
constexpr core::Duration kLeastGapWatch{700'000};
constexpr int kWatchFactor = 4;
constexpr int kServerError = 500;
// What any request costs an upstream, so that paces of small ones compare.
constexpr double kCostOfAny = 1;

// When to come back, by what is missing.
constexpr core::Duration kSoon{200'000};
constexpr core::Duration kAfterReading{500'000};
constexpr core::Duration kAfterACut{4'000'000};

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

core::Duration RetryAfter(const core::Error& error) {
  switch (error.id) {
    case core::ErrorId::kNotReady:
    case core::ErrorId::kConfigurationStale:
      return kAfterReading;
    default:
      return kSoon;
  }
}

}  // namespace

Exchange::Exchange(const ExchangeContext& context,
                   CallerRef caller,
                   CallerRequest request)
    : m_context(context),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_timer(context.io) {}

void Exchange::Start() {
  m_caller->WatchLeaving([self = shared_from_this()] { self->OnCallerLeft(); });
  Admit();
}

bool Exchange::IsStream() const {
  return m_admitted.route->kind == RouteKind::kStream;
}

bool Exchange::Repeatable() const {
  const entry::Route& route = *m_admitted.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

core::Duration Exchange::Left() const {
  return m_limit_at - net::BootNow();
}

void Exchange::Admit() {
  const core::Result<entry::RequestFacts> facts =
      m_context.dialect.read_request(m_request.head);
  if (!core::IsOk(facts)) {
    Refuse(core::Failure(facts), std::nullopt);
    return;
  }
  m_facts = core::Value(facts);
  core::Result<entry::Admitted> admitted =
      entry::Admit(m_context.configuration(), m_facts, m_context.random());
  if (!core::IsOk(admitted)) {
    const core::Error& error = core::Failure(admitted);
    Refuse(error, RetryAfter(error));
    return;
  }
  m_admitted = core::TakeValue(std::move(admitted));
  const auto time_to_stop = m_context.time_to_stop();
  if (time_to_stop && m_admitted.limit > *time_to_stop) {
    // Taken now, it would be cut off when the process ends.
    Refuse({core::ErrorId::kDraining, "router", "leaving"}, kSoon);
    return;
  }
  m_limit_at = m_request.arrived + m_admitted.limit;
  m_context.retries.OnRequest(m_admitted.service, m_request.arrived);
  ArmTimer();
  const core::Tokens most = m_facts.prompt + m_facts.most_output;
  if (m_admitted.account == nullptr || most == core::Tokens(0)) {
    Place();
    return;
  }
  m_context.book.OnDemand(m_admitted.account->name, most, m_request.arrived);
  Reserve();
}

void Exchange::Reserve() {
  const core::AccountId& account = m_admitted.account->name;
  const core::Tokens most = m_facts.prompt + m_facts.most_output;
  switch (m_context.book.Reserve(account, most)) {
    case entry::Reservation::kHeld:
      m_reserved = most;
      Place();
      return;
    case entry::Reservation::kUnlimited:
      Place();
      return;
    case entry::Reservation::kExhausted:
      // The total may have grown by a configuration that this router missed.
      if (m_context.configuration().fresh) {
        Refuse({core::ErrorId::kBudgetExhausted, account.value(),
                "the rest does not cover the request"},
               std::nullopt);
        return;
      }
      Refuse({core::ErrorId::kBudgetBusy, account.value(),
              "the total may have grown"},
             kAfterACut);
      return;
    case entry::Reservation::kShort:
      WaitForGrant();
      return;
  }
}

void Exchange::WaitForGrant() {
  const core::AccountId& account = m_admitted.account->name;
  const core::Tokens most = m_facts.prompt + m_facts.most_output;
  const core::TimePoint now = net::BootNow();
  const bool waited_out = m_wait_until && now >= *m_wait_until;
  if (!m_context.contact.up() || waited_out ||
      !m_context.book.MayBeCovered(account, most)) {
    Refuse({core::ErrorId::kBudgetBusy, account.value(),
            m_context.contact.up() ? "others hold the rest"
                                   : "the store can't be reached for more"},
           m_context.contact.up() ? kAfterReading : kAfterACut);
    return;
  }
  if (!m_wait_until) {
    m_waiting_since = now;
    m_wait_until = now + std::min(kGrantWait, m_admitted.limit / 4);
    ArmTimer();
  }
  m_context.wait_for_grant([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnGrant();
    }
  });
}

void Exchange::OnGrant() {
  if (m_done || m_attempt || m_reserved != core::Tokens(0) || m_sends != 0) {
    return;
  }
  Reserve();
}

void Exchange::Place() {
  if (m_waiting_since) {
    m_context.metrics.OnGrantWait(net::BootNow() - *m_waiting_since);
    m_waiting_since.reset();
    m_wait_until.reset();
  }
  const entry::Service* service =
      m_admitted.in_force->FindService(m_admitted.service);
  entry::PlacementQuery query;
  query.service = m_admitted.service;
  query.exclude = m_tried;
  query.engine = service != nullptr && service->engine.has_value();
  query.prompt = m_facts.prompt;
  query.routers = m_context.members.Live();
  if (m_admitted.route->prefix_affinity) {
    query.shared_prefix = m_facts.shared_prefix;
    query.shared_tokens = std::min(m_facts.shared_tokens, m_facts.prompt);
  }
  if (service != nullptr && service->max_connections != 0) {
    // The upstream resets what comes beyond its own bound, which all routers
    // share; a part stays free for routers that are not known yet.
    const uint32_t share =
        service->max_connections * 4 / 5 / m_context.members.Live();
    query.connection_bound = std::max(share, 2U);
  }
  const entry::Placement placement =
      m_context.placer.Choose(m_context.directory, query, net::BootNow());
  m_placed_by = entry::ToString(placement.why);
  m_placed_cost = placement.cost;
  if (placement.upstream == nullptr || ++m_tries > kMostTries) {
    core::Error error{
        core::ErrorId::kNoUpstream, m_admitted.service.value(),
        m_last_failure.empty() ? std::string(m_placed_by) : m_last_failure};
    if (m_may_have_run) {
      error.id = core::ErrorId::kUpstreamFailed;
      Fail(error);
    } else {
      Refuse(error, kSoon);
    }
    return;
  }
  Send(placement);
}

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
  facts.has_accounts = m_admitted.in_force->has_accounts();
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
  m_attempt->reading = m_context.placer.ReadingCost(
      m_facts.prompt - std::min(m_facts.shared_tokens, m_facts.prompt));
  m_attempt->cost = placement.cost;
  ++upstream->in_flight;
  upstream->in_prefill += m_attempt->reading;
  if (!m_facts.shared_prefix.empty()) {
    upstream->prefixes.Remember(core::Hash64(m_facts.shared_prefix), now);
  }
  m_watch_from = now;
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
       }});
  ArmTimer();
}

void Exchange::OnHead(const http1::ResponseHead& head) {
  Attempt& attempt = *m_attempt;
  attempt.answer = m_context.dialect.read_answer(head);
  m_watch_from = net::BootNow();
  EndReading();
  attempt.upstream->health.OnFirstByte(m_watch_from - attempt.began,
                                       attempt.cost + kCostOfAny);
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
  m_attempt->connection->Cancel();
  LeaveUpstream(outcome);
  m_attempt.reset();
}

void Exchange::OnEnd(AttemptEnd end, std::string_view why) {
  if (m_done || !m_attempt) {
    return;
  }
  if (end == AttemptEnd::kNotSent) {
    LeaveUpstream(AttemptOutcome::kUnreachable);
    m_attempt.reset();
    // Nothing left this router: any other upstream may have it.
    Place();
    return;
  }
  ++m_sends;
  if (end == AttemptEnd::kBroken) {
    m_may_have_run = true;
    LeaveUpstream(AttemptOutcome::kBroken);
    m_attempt.reset();
    OnBroken(why);
    return;
  }
  m_context.pool.Give(m_attempt->upstream->entry.id, m_attempt->connection,
                      net::BootNow());
  if (m_attempt->answer.not_run) {
    OnDeclined();
    return;
  }
  m_may_have_run = true;
  OnWhole();
}

// An upstream's own word is the only proof that a request it was sent did not
// run.
void Exchange::OnDeclined() {
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
  Refuse(
      {core::ErrorId::kNoUpstream, m_admitted.service.value(), m_last_failure},
      kSoon);
}

void Exchange::OnWhole() {
  const bool resumed = m_attempt->resumed;
  const bool failed =
      resumed ? !m_attempt->passing_on : m_head->status >= kServerError;
  LeaveUpstream(failed ? AttemptOutcome::kOwnFailure
                       : AttemptOutcome::kAnswered);
  const bool streamed = m_attempt->passing_on;
  m_attempt.reset();
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
  return m_context.retries.Take(m_admitted.service, m_context.members.Live(),
                                net::BootNow());
}

void Exchange::Refuse(const core::Error& error,
                      std::optional<core::Duration> retry_after) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  m_caller->Answer(m_context.dialect.refusal(error, retry_after));
  Finish(info.name, info.http_status);
}

// After the point of no return nothing is promised: the status says neither
// "not run" nor "ran", and an answer that began must not look complete.
void Exchange::Fail(const core::Error& error) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  if (m_answer_begun) {
    m_caller->Abort();
    Finish("answer_cut", 0);
    return;
  }
  m_caller->Answer(m_context.dialect.refusal(error, std::nullopt));
  Finish(info.name, info.http_status);
}

void Exchange::OnCallerLeft() {
  if (m_done) {
    return;
  }
  if (m_attempt) {
    const bool sent = m_attempt->connection->sent_any();
    m_may_have_run = m_may_have_run || sent;
    m_attempt->connection->Cancel();
    --m_attempt->upstream->in_flight;
    EndReading();
    m_attempt.reset();
  }
  Finish("caller_left", 0);
}

void Exchange::Settle() {
  if (m_reserved == core::Tokens(0)) {
    return;
  }
  core::Tokens used(0);
  if (m_may_have_run) {
    const entry::Service* service =
        m_admitted.in_force->FindService(m_admitted.service);
    const uint64_t per_event = service != nullptr && service->engine
                                   ? service->engine->tokens_per_event
                                   : 1;
    const core::Tokens output(
        static_cast<int64_t>(m_cutter.events() * per_event));
    used = std::min(m_reserved,
                    m_facts.prompt + std::min(output, m_facts.most_output));
  }
  m_context.book.Settle(m_admitted.account->name, m_reserved, used,
                        net::BootNow());
  m_reserved = core::Tokens(0);
}

void Exchange::Finish(std::string_view cause, int status) {
  if (m_done) {
    return;
  }
  m_done = true;
  m_timer.cancel();
  Settle();
  const bool admitted = m_admitted.route != nullptr;
  const RouteKind kind =
      admitted ? m_admitted.route->kind : RouteKind::kAtMostOnce;
  m_context.metrics.OnRequest(kind, cause);
  LogLine line("request");
  line.Text("id", m_facts.id).Text("outcome", cause).Number("status", status);
  if (admitted) {
    line.Text("rule", m_admitted.route->name.value())
        .Text("service", m_admitted.service.value())
        .Number("config",
                static_cast<int64_t>(m_admitted.in_force->version().value()));
  }
  if (admitted && m_admitted.account != nullptr) {
    const core::AccountId& account = m_admitted.account->name;
    const auto figures = m_context.book.FiguresOf(account);
    line.Text("account", account.value())
        .Number("tokens_most", (m_facts.prompt + m_facts.most_output).value())
        .Number("total", figures.total.value_or(core::Tokens(0)).value())
        .Number("elsewhere", figures.others.value())
        .Number("ceiling", figures.ceiling.value())
        .Number("spent", figures.spent.value())
        .Number("reserved", figures.reserved.value());
  }
  if (!m_tried.empty()) {
    line.Text("upstream", m_tried.back().value())
        .Text("placed_by", m_placed_by)
        .Number("cost", static_cast<int64_t>(m_placed_cost))
        .Number("sends", m_sends);
  }
  if (!m_last_failure.empty()) {
    line.Text("why", m_last_failure);
  }
  line.Number("events", static_cast<int64_t>(m_cutter.events()))
      .Millis("first_ms", m_first_byte)
      .Millis("whole_ms", net::BootNow() - m_request.arrived)
      .Number("store_up", m_context.contact.up() ? 1 : 0);
  m_context.log.Write(
      cause == "served" ? LineKind::kRoutine : LineKind::kTrouble, line);
}

std::optional<core::TimePoint> Exchange::WatchTime() const {
  if (!m_attempt || !Repeatable() ||
      m_sends + 1 >= m_admitted.route->max_attempts) {
    return std::nullopt;
  }
  const entry::Route& route = *m_admitted.route;
  if (!m_answer_begun) {
    return m_watch_from +
           std::max(route.target_latency * kWatchFactor, kLeastFirstByteWatch);
  }
  if (!IsStream()) {
    return std::nullopt;
  }
  return m_watch_from +
         std::max(route.target_gap * kWatchFactor, kLeastGapWatch);
}

void Exchange::ArmTimer() {
  core::TimePoint next = m_limit_at;
  if (m_wait_until) {
    next = std::min(next, *m_wait_until);
  }
  if (const auto watch = WatchTime()) {
    next = std::min(next, *watch);
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
  if (now >= m_limit_at) {
    const bool sent = m_attempt && m_attempt->connection->sent_any();
    if (m_attempt) {
      CutAttempt(m_answer_begun ? AttemptOutcome::kBroken
                                : AttemptOutcome::kSilent);
    }
    if (sent || m_may_have_run) {
      Fail({core::ErrorId::kUpstreamSilent, m_last_failure,
            "no answer within the limit"});
    } else {
      Refuse({core::ErrorId::kQueueTimeout, m_admitted.service.value(),
              "not sent within the limit"},
             kSoon);
    }
    return;
  }
  if (m_wait_until && now >= *m_wait_until) {
    WaitForGrant();
    return;
  }
  const auto watch = WatchTime();
  if (watch && now >= *watch && TakeRepeat()) {
    CutAttempt(AttemptOutcome::kSilent);
    ForgetAnswer();
    Place();
    return;
  }
  if (watch && now >= *watch) {
    // No right to repeat now; look again a little later.
    m_watch_from = now;
  }
  ArmTimer();
}

}  // namespace coppervalve::gateway
