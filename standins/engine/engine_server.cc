#include "standins/engine/engine_server.h"

#include <algorithm>  // find, max
#include <boost/json/array.hpp>
#include <charconv>      // from_chars
#include <chrono>        // milliseconds
#include <system_error>  // errc
#include <utility>       // move

#include "coppervalve/standin/json.h"
#include "coppervalve/standin/token_text.h"

namespace coppervalve::standin {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kInternalError = 500;
constexpr uint32_t kDefaultPriority = 1;
// A cached prefix divides the prefill by this factor.
constexpr int64_t kCachedPrefillDivisor = 4;
constexpr int64_t kDefaultSlowFactor = 10;

std::optional<EngineFault> ParseFault(const std::string& mode) {
  static const std::map<std::string, EngineFault> modes = {
      {"ok", EngineFault::kNone},
      {"slow", EngineFault::kSlow},
      {"silent", EngineFault::kSilent},
      {"error", EngineFault::kError},
      {"cut_after", EngineFault::kCutAfter},
      {"refuse", EngineFault::kRefuse}};
  const auto found = modes.find(mode);
  if (found == modes.end()) {
    return std::nullopt;
  }
  return found->second;
}

uint32_t PriorityOf(const HttpRequest& request) {
  const std::string text = request.Header("x-coppervalve-priority");
  uint32_t priority = kDefaultPriority;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), priority);
  return error == std::errc() ? priority : kDefaultPriority;
}

// Builds an error response that is marked as sent before anything ran.
HttpResponse NotRun(unsigned status, const core::Error& error) {
  HttpResponse response = ErrorResponse(status, error);
  response.headers.emplace_back("x-not-run", "true");
  return response;
}

}  // namespace

EngineServer::EngineServer(EventLoop& loop, const EngineOptions& options)
    : m_loop(loop),
      m_options(options),
      m_scheduler(options.max_batch, options.queue_capacity),
      m_cache(options.cached_prefixes),
      m_fencing(options.checks_fencing),
      m_records(options.record_path),
      m_load(options.report_lag, Load{}) {}

void EngineServer::Handle(const HttpRequest& request,
                          const HttpExchange& exchange) {
  if (HandleAdmin(request, exchange) || HandleFault(exchange)) {
    return;
  }
  Route(request, exchange);
}

// Records for the audit and the control of faults work under every fault.
bool EngineServer::HandleAdmin(const HttpRequest& request,
                               HttpExchange exchange) {
  if (request.path == "/control") {
    HandleControl(request, std::move(exchange));
    return true;
  }
  if (request.path == "/records") {
    exchange.Send(JsonResponse(kOk, m_records.ToJson()));
    return true;
  }
  return false;
}

// silent: new requests get no response and streams stop; connections stay open
// and jobs continue to run. refuse: the connection is closed before anything
// runs. error: 500 is sent before anything runs. cut_after and slow affect the
// stream.
bool EngineServer::HandleFault(HttpExchange exchange) const {
  switch (m_fault) {
    case EngineFault::kRefuse:
      exchange.Abort();
      return true;
    case EngineFault::kError:
      exchange.Send(ErrorResponse(
          kInternalError, {core::ErrorId::kUpstreamFailed, "engine", "fault"}));
      return true;
    case EngineFault::kNone:
    case EngineFault::kSlow:
    case EngineFault::kSilent:
    case EngineFault::kCutAfter:
      return false;
  }
  return false;
}

void EngineServer::Route(const HttpRequest& request, HttpExchange exchange) {
  const bool is_post = request.method == "POST";
  const bool is_completion = request.path == "/v1/chat/completions" ||
                             request.path == "/v1/completions";
  if (is_post && is_completion) {
    HandleCompletion(request, std::move(exchange));
    return;
  }
  if (m_fault == EngineFault::kSilent) {
    return;
  }
  if (is_post && request.path == "/admin/order") {
    HandleOrder(request, std::move(exchange));
    return;
  }
  if (request.path == "/health") {
    exchange.Send(AddLoadHeaders(JsonResponse(kOk, {{"status", "ok"}})));
    return;
  }
  if (request.path == "/load") {
    SendLoad(std::move(exchange));
    return;
  }
  exchange.Send(
      ErrorResponse(kNotFound, {core::ErrorId::kNotFound, request.path, {}}));
}

void EngineServer::HandleCompletion(const HttpRequest& request,
                                    HttpExchange exchange) {
  auto parsed = ParseCompletion(request.path, request.body);
  if (!core::IsOk(parsed)) {
    exchange.Send(NotRun(kBadRequest, core::Failure(parsed)));
    return;
  }
  CompletionRequest completion = core::TakeValue(std::move(parsed));
  if (!Serves(completion.model)) {
    exchange.Send(AddLoadHeaders(NotRun(
        kNotFound, {core::ErrorId::kNotFound, completion.model, "model"})));
    return;
  }
  Submit(request, std::move(exchange), std::move(completion));
}

void EngineServer::Submit(const HttpRequest& request,
                          HttpExchange exchange,
                          CompletionRequest completion) {
  ActiveRequest active;
  active.execution.request_id = request.Header("x-request-id");
  active.execution.key = request.Header("idempotency-key");
  active.execution.account = request.Header("x-coppervalve-account");
  active.execution.prompt = PromptTokens(completion.prompt.size());
  active.output = OutputTokens(active.execution.request_id,
                               completion.max_tokens, m_options.early_stop);

  Job job;
  job.id = JobId(++m_last_job);
  job.priority = PriorityOf(request);
  job.prefill_steps = PrefillSteps(completion, active.execution.prompt);
  job.output = active.output;
  if (!m_scheduler.Submit(job)) {
    HttpResponse refusal = NotRun(
        kTooManyRequests, {core::ErrorId::kQueueFull, "engine", "queue full"});
    refusal.headers.emplace_back("retry-after", "1");
    exchange.Send(AddLoadHeaders(std::move(refusal)));
    return;
  }
  exchange.OnClientDisconnected(
      [this, id = job.id] { RemoveJob(id, ExecutionState::kCancelled); });
  active.request = std::move(completion);
  active.exchange = std::move(exchange);
  m_active.emplace(job.id, std::move(active));
  UpdateLoad();
  StartStepping();
}

uint32_t EngineServer::PrefillSteps(const CompletionRequest& completion,
                                    core::Tokens prompt) {
  int64_t tokens = prompt.value();
  if (m_cache.FindOrInsert(completion.prompt)) {
    tokens /= kCachedPrefillDivisor;
  }
  const int64_t per_step = m_options.prefill_tokens_per_step;
  return static_cast<uint32_t>(
      std::max<int64_t>((tokens + per_step - 1) / per_step, 1));
}

bool EngineServer::Serves(const std::string& model) const {
  const std::vector<std::string>& models = m_options.models;
  return models.empty() ||
         std::find(models.begin(), models.end(), model) != models.end();
}

void EngineServer::StartStepping() {
  if (m_step_scheduled) {
    return;
  }
  m_step_scheduled = true;
  m_next_step = m_loop.now() + StepTime();
  m_loop.After(StepTime(), [this] { RunStep(); });
}

void EngineServer::RunStep() {
  m_step_scheduled = false;
  const std::vector<StepEvent> events = m_scheduler.Step();
  for (const StepEvent& event : events) {
    const auto active = m_active.find(event.job);
    if (active == m_active.end()) {
      continue;
    }
    if (event.kind == StepEvent::Kind::kStarted) {
      OnStarted(active->second);
      continue;
    }
    OnToken(active, event);
  }
  UpdateLoad();
  if (m_scheduler.IsIdle()) {
    return;
  }
  // Steps follow a fixed schedule, so that the processing time of each step on
  // a busy machine does not slow down the engine.
  m_step_scheduled = true;
  m_next_step = std::max(m_next_step + StepTime(), m_loop.now());
  m_loop.After(m_next_step - m_loop.now(), [this] { RunStep(); });
}

void EngineServer::OnStarted(ActiveRequest& active) {
  active.execution.started_step = m_scheduler.steps();
  active.record = m_records.Start(active.execution);
}

void EngineServer::OnToken(ActiveMap::iterator active, const StepEvent& event) {
  const JobId id = active->first;
  ActiveRequest& answer = active->second;
  m_records.CountToken(*answer.record);
  if (m_fault == EngineFault::kSilent) {
    answer.silenced = true;
  }
  SendToken(answer, event);
  if (ShouldCutStream(answer, event)) {
    HttpExchange exchange = answer.exchange;
    RemoveJob(id, ExecutionState::kCut);
    exchange.Abort();
    return;
  }
  if (!event.last) {
    return;
  }
  m_records.End(*answer.record, ExecutionState::kDone, !answer.silenced,
                m_scheduler.steps());
  FinishAnswer(answer);
  m_active.erase(id);
}

void EngineServer::SendToken(ActiveRequest& active, const StepEvent& event) {
  const std::string text =
      TokenText(active.execution.request_id, event.index, event.last);
  active.text += text;
  if (active.silenced || !active.request.stream) {
    return;
  }
  if (!active.head_sent) {
    HttpResponse head;
    head.content_type = "text/event-stream";
    active.exchange.StartStream(AddLoadHeaders(std::move(head)));
    active.head_sent = true;
  }
  active.exchange.Write(TokenEvent(active.request, active.execution.request_id,
                                   text, event.last));
}

void EngineServer::FinishAnswer(ActiveRequest& active) {
  if (active.silenced) {
    return;
  }
  const std::string& id = active.execution.request_id;
  const CompletionUsage usage{active.execution.prompt, active.output};
  if (active.request.stream) {
    active.exchange.Write(FinalEvents(active.request, id, usage));
    active.exchange.Finish();
    return;
  }
  HttpResponse response;
  response.body = CompletionBody(active.request, id, active.text, usage);
  active.exchange.Send(AddLoadHeaders(std::move(response)));
}

bool EngineServer::ShouldCutStream(const ActiveRequest& active,
                                   const StepEvent& event) const {
  return m_fault == EngineFault::kCutAfter && !active.silenced &&
         event.index + core::Tokens(1) >= m_cut_after;
}

// A job that is still queued has not run and has no record.
void EngineServer::RemoveJob(JobId id, ExecutionState state) {
  const auto active = m_active.find(id);
  if (active == m_active.end()) {
    return;
  }
  if (active->second.record) {
    m_records.End(*active->second.record, state, false, m_scheduler.steps());
  }
  m_scheduler.Cancel(id);
  m_active.erase(active);
  UpdateLoad();
}

core::Duration EngineServer::StepTime() const {
  return m_fault == EngineFault::kSlow ? m_slow_step : m_options.step_time;
}

HttpResponse EngineServer::AddLoadHeaders(HttpResponse response) {
  const Load load = m_load.Get(m_loop.now());
  response.headers.emplace_back("x-engine-running",
                                std::to_string(load.running));
  response.headers.emplace_back("x-engine-queued", std::to_string(load.queued));
  return response;
}

void EngineServer::UpdateLoad() {
  m_load.Set(m_loop.now(), {m_scheduler.running(), m_scheduler.queued()});
}

void EngineServer::SendLoad(HttpExchange exchange) {
  const Load load = m_load.Get(m_loop.now());
  boost::json::array models;
  for (const std::string& model : m_options.models) {
    models.emplace_back(model);
  }
  exchange.Send(JsonResponse(kOk, {{"running", load.running},
                                   {"queued", load.queued},
                                   {"models", std::move(models)},
                                   {"fencing", m_fencing.highest().value()}}));
}

void EngineServer::HandleOrder(const HttpRequest& request,
                               HttpExchange exchange) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    exchange.Send(ErrorResponse(kBadRequest, core::Failure(parsed)));
    return;
  }
  const boost::json::object& order = core::Value(parsed);
  const core::FencingNumber number(
      static_cast<uint64_t>(NumberMember(order, "fencing", 0)));
  if (!m_fencing.Admit(number)) {
    exchange.Send(ErrorResponse(
        kConflict, {core::ErrorId::kOrderFenced, "fencing",
                    "highest " + std::to_string(m_fencing.highest().value())}));
    return;
  }
  const std::string model = StringMember(order, "load_model");
  if (!model.empty() && !m_options.models.empty() && !Serves(model)) {
    m_options.models.push_back(model);
  }
  exchange.Send(JsonResponse(kOk, {{"ok", true}}));
}

void EngineServer::HandleControl(const HttpRequest& request,
                                 HttpExchange exchange) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    exchange.Send(ErrorResponse(kBadRequest, core::Failure(parsed)));
    return;
  }
  const boost::json::object& command = core::Value(parsed);
  const auto fault = ParseFault(StringMember(command, "mode"));
  if (!fault) {
    exchange.Send(
        ErrorResponse(kBadRequest, {core::ErrorId::kBadRequest, "mode", {}}));
    return;
  }
  m_fault = *fault;
  m_cut_after = core::Tokens(NumberMember(command, "after_tokens", 1));
  const int64_t normal_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_options.step_time)
          .count();
  m_slow_step = std::chrono::milliseconds(
      NumberMember(command, "slow_ms", normal_ms * kDefaultSlowFactor));
  exchange.Send(JsonResponse(kOk, {{"ok", true}}));
}

}  // namespace coppervalve::standin
