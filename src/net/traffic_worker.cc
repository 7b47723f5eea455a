#include "traffic_worker.h"

#include <boost/asio/post.hpp>
#include <chrono>    // minutes
#include <iterator>  // next
#include <utility>   // move

#include "caller_routes.h"
#include "coppervalve/net/clock.h"
#include "coppervalve/net/model_json.h"
#include "forward_relay.h"
#include "outgoing_request.h"

namespace coppervalve::net {

namespace {

using core::ErrorId;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kActivePhase = "active";
constexpr std::chrono::seconds kSweepInterval{60};
// Longer than a request can stay in any queue.
constexpr std::chrono::minutes kAbandonedAfter{15};

HttpHead JsonHead(unsigned status) {
  return {status, {{"content-type", "application/json"}}};
}

}  // namespace

TrafficWorker::TrafficWorker(boost::asio::io_context& context,
                             size_t thread,
                             size_t threads,
                             const WorkerContext& shared)
    : m_context(context),
      m_thread(thread),
      m_threads(threads),
      m_shared(shared),
      m_sweep(context) {}

TrafficWorker::~TrafficWorker() = default;

// ---- Accepting requests ---------------------------------------------------

Exchange TrafficWorker::Accept(HttpRequest http,
                               const std::optional<core::AccountId>& account) {
  const core::RequestId id = NextId();
  core::Result<CallerRoute> routed = RouteCaller(http, id, BootNow(), account);
  if (!core::IsOk(routed)) {
    return RefuseNow(core::Failure(routed));
  }
  CallerRoute route = core::TakeValue(std::move(routed));
  Entry entry;
  if (const auto* work = std::get_if<router::RequestArrived>(&route.event)) {
    entry.stream = work->stream;
    entry.keyed = !work->idempotency_key.empty();
    entry.deadline = work->deadline;
  }
  entry.wants_usage = route.wants_usage;
  entry.http = std::move(http);
  entry.answer = m_shared.answers->Create(id, entry.keyed);
  Exchange exchange{id, entry.answer};
  m_requests.emplace(id, std::move(entry));
  std::visit([this](auto& event) { m_shared.report(std::move(event)); },
             route.event);
  return exchange;
}

Exchange TrafficWorker::QueryStatus(bool readiness) {
  const core::RequestId id = NextId();
  Entry entry;
  entry.readiness = readiness;
  entry.answer = std::make_shared<Answer>(0);
  Exchange exchange{id, entry.answer};
  m_requests.emplace(id, std::move(entry));
  m_shared.report(router::OperatorStatusRequested{id});
  return exchange;
}

Exchange TrafficWorker::AnswerNow(HttpHead head, std::string_view body) {
  auto answer = std::make_shared<Answer>(0);
  answer->Start(std::move(head), false);
  answer->Append(body);
  answer->Finish();
  return {NextId(), std::move(answer)};
}

Exchange TrafficWorker::RefuseNow(core::Error error) {
  auto answer = std::make_shared<Answer>(0);
  answer->Fail(RefusalOf(std::move(error)));
  return {NextId(), std::move(answer)};
}

void TrafficWorker::OnCallerGone(core::RequestId request) {
  m_shared.report(router::CallerDisconnected{request});
  Entry* entry = Find(request);
  if (!entry) {
    return;
  }
  entry->disconnected_at = BootNow();
  DropIfAbandoned(request);
}

void TrafficWorker::OnServed(core::RequestId request) {
  const Entry* entry = Find(request);
  if (entry && entry->joined) {
    Erase(request);
  }
}

// ---- Executing actions ----------------------------------------------------

void TrafficWorker::Execute(const router::Dispatch& action) {
  Entry* entry = Find(action.request);
  if (!entry || entry->joined) {
    RefuseDispatch(action, "the request has ended");
    return;
  }
  if (entry->answer->started()) {
    // The output of a second attempt would be appended to that of the first.
    RefuseDispatch(action, "the caller already has part of an answer");
    return;
  }
  std::optional<AttemptPlan> plan =
      PlanAttempt({entry->http, entry->stream, entry->wants_usage}, action,
                  *m_shared.settings, m_shared.request_prefix);
  if (!plan) {
    RefuseDispatch(action, "the body cannot be rewritten");
    return;
  }
  plan->held = m_shared.held_of_attempts;
  entry->attempt = std::make_unique<UpstreamAttempt>(
      m_context, m_pool, std::move(*plan), entry->answer,
      [this, request = action.request,
       attempt = action.attempt](router::Event event) {
        OnAttemptEvent(request, attempt, std::move(event));
      });
}

void TrafficWorker::Execute(const router::Refuse& action) {
  Entry* entry = Find(action.request);
  if (!entry) {
    return;
  }
  entry->answer->Fail({action.error, action.run_state, action.retry_after});
  // The core records refusals itself and lets no request join one.
  m_shared.answers->Remove(action.request);
  Erase(action.request);
}

void TrafficWorker::Execute(const router::JoinAnswer& action,
                            std::shared_ptr<Answer> leader) {
  Entry* entry = Find(action.request);
  if (!entry) {
    return;
  }
  if (!leader) {
    entry->answer->Fail(RefusalOf(
        {ErrorId::kAnswerExpired, "answer", "the answer is no longer stored"}));
    Erase(action.request);
    return;
  }
  // The answer stored under the joining request's own id would stay empty.
  m_shared.answers->Remove(action.request);
  entry->joined = true;
  entry->http = HttpRequest();
  entry->answer->RedirectTo(std::move(leader));
  DropIfAbandoned(action.request);
}

void TrafficWorker::Execute(const router::Forward& action) {
  Entry* entry = Find(action.request);
  if (!entry || !m_shared.peers) {
    m_shared.report(router::ForwardEnded{action.request, false, false, false});
    return;
  }
  ForwardCallbacks callbacks = RelayForward(
      entry->answer, m_shared.settings->max_answer_bytes,
      [this, request = action.request](const ForwardOutcome& outcome) {
        boost::asio::post(m_context, [this, request, outcome] {
          OnForwardEnd(request, outcome);
        });
      });
  entry->forward = m_shared.peers->StartForward(
      action.address, ForwardHeadOf(entry->http, entry->deadline, action),
      entry->http.body, std::move(callbacks));
}

void TrafficWorker::Execute(const router::CancelAttempt& action) {
  Entry* entry = Find(action.request);
  if (!entry) {
    return;
  }
  if (entry->forward && action.attempt == core::AttemptId()) {
    entry->forward->Cancel();
  }
  if (entry->attempt && entry->attempt->id() == action.attempt) {
    entry->attempt.reset();
  }
  DropIfAbandoned(action.request);
}

void TrafficWorker::Execute(const router::ReplyJson& action) {
  Entry* entry = Find(action.request);
  if (!entry) {
    return;
  }
  HttpHead head = JsonHead(action.http_status);
  std::string body = action.json;
  if (entry->readiness) {
    const bool ready = ReadPhase(action.json) == kActivePhase;
    head.status = ready ? kOk : kUnavailable;
    body = ready ? R"({"ready":true})" : R"({"ready":false})";
  }
  entry->answer->Start(std::move(head), false);
  entry->answer->Append(body);
  entry->answer->Finish();
  Erase(action.request);
}

void TrafficWorker::Execute(const router::ForgetAnswer& action) {
  m_shared.answers->Remove(action.request);
  const Entry* entry = Find(action.request);
  if (entry && entry->disconnected_at) {
    Erase(action.request);
  }
}

// ---- Reports of attempts and forwards -------------------------------------

void TrafficWorker::OnAttemptEvent(core::RequestId request,
                                   core::AttemptId attempt,
                                   router::Event event) {
  const bool done = std::holds_alternative<router::AttemptDone>(event);
  const bool first = std::holds_alternative<router::AttemptFirstToken>(event);
  m_shared.report(std::move(event));
  Entry* entry = Find(request);
  if (first || !entry || !entry->attempt || entry->attempt->id() != attempt) {
    return;
  }
  if (done) {
    Erase(request);
    return;
  }
  entry->attempt.reset();
  DropIfAbandoned(request);
}

void TrafficWorker::OnForwardEnd(core::RequestId request,
                                 const ForwardOutcome& outcome) {
  Entry* entry = Find(request);
  const bool relayed = entry && entry->answer->started();
  m_shared.report(
      router::ForwardEnded{request, outcome.complete, outcome.sent, relayed});
  if (!entry) {
    return;
  }
  entry->forward.reset();
  if (outcome.complete) {
    // The peer that ran the request stores its answer for repeated requests.
    m_shared.answers->Remove(request);
    Erase(request);
    return;
  }
  DropIfAbandoned(request);
}

void TrafficWorker::RefuseDispatch(const router::Dispatch& action,
                                   std::string detail) {
  m_shared.report(router::AttemptNotSent{
      action.request,
      action.attempt,
      {ErrorId::kBadRequest, "dispatch", std::move(detail)}});
}

// ---- Bookkeeping ----------------------------------------------------------

core::RequestId TrafficWorker::NextId() {
  // The id encodes the owning thread, to which actions are routed.
  return core::RequestId(m_next++ * m_threads + m_thread);
}

TrafficWorker::Entry* TrafficWorker::Find(core::RequestId request) {
  const auto found = m_requests.find(request);
  return found == m_requests.end() ? nullptr : &found->second;
}

void TrafficWorker::Erase(core::RequestId request) {
  m_requests.erase(request);
}

void TrafficWorker::DropIfAbandoned(core::RequestId request) {
  const Entry* entry = Find(request);
  if (!entry || !entry->disconnected_at) {
    return;
  }
  // A request with an idempotency key continues without its caller, because a
  // retry may fetch its answer. The core ends it by an answer, a refusal or
  // ForgetAnswer.
  const bool idle = !entry->attempt && !entry->forward;
  if (entry->joined || (!entry->keyed && idle)) {
    Erase(request);
  }
}

void TrafficWorker::Start() {
  m_sweep.expires_after(kSweepInterval);
  m_sweep.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Sweep();
      Start();
    }
  });
}

void TrafficWorker::Sweep() {
  // The core reports the end of a request only to waiting callers. If the
  // caller and all joined callers of a keyed request have disconnected, its
  // body would stay here forever. If the core still dispatches the request
  // later, the worker reports that nothing was sent.
  const core::TimePoint oldest = BootNow() - kAbandonedAfter;
  for (auto it = m_requests.begin(); it != m_requests.end();) {
    const Entry& entry = it->second;
    const bool abandoned = entry.disconnected_at &&
                           *entry.disconnected_at < oldest && !entry.attempt &&
                           !entry.forward;
    if (abandoned) {
      m_shared.answers->Remove(it->first);
    }
    it = abandoned ? m_requests.erase(it) : std::next(it);
  }
}

}  // namespace coppervalve::net
