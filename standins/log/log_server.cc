#include "standins/log/log_server.h"

#include <google/protobuf/util/json_util.h>

#include <chrono>    // milliseconds
#include <iterator>  // next
#include <map>       // map
#include <optional>  // optional
#include <utility>   // move

#include "coppervalve/core/hash.h"
#include "coppervalve/standin/json.h"

namespace coppervalve::standin {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr size_t kDefaultReadBytes = 1 << 20;
constexpr int64_t kDefaultSlowMs = 1'000;

std::optional<LogFault> ParseFault(const std::string& mode) {
  static const std::map<std::string, LogFault> modes = {
      {"up", LogFault::kNone},
      {"down", LogFault::kDown},
      {"slow", LogFault::kSlow},
      {"lose_replies", LogFault::kLoseReplies},
      {"hang", LogFault::kHang}};
  const auto found = modes.find(mode);
  if (found == modes.end()) {
    return std::nullopt;
  }
  return found->second;
}

HttpResponse ProtoResponse(const google::protobuf::MessageLite& message) {
  HttpResponse response;
  response.content_type = "application/x-protobuf";
  response.body = message.SerializeAsString();
  return response;
}

HttpResponse Refusal(unsigned status, core::ErrorId id, std::string subject) {
  return ErrorResponse(status, {id, std::move(subject), {}});
}

}  // namespace

LogServer::LogServer(EventLoop& loop, const LogServerOptions& options)
    : m_loop(loop),
      m_store(options.retain_entries),
      m_append_limiter(options.max_appends_per_second),
      m_vms(options.vm_lag, {}) {}

void LogServer::Handle(const HttpRequest& request,
                       const HttpExchange& exchange) {
  if (request.path == "/control") {
    HandleControl(request, exchange);
    return;
  }
  if (request.path == "/control/vms") {
    SetVms(request, exchange);
    return;
  }
  if (request.path == "/stats") {
    SendStats(exchange);
    return;
  }
  ServeUnderFault(request, exchange);
}

LogFault LogServer::FaultFor(const HttpRequest& request) const {
  if (!request.client.starts_with(m_fault_client)) {
    return LogFault::kNone;
  }
  if (request.path == "/vms" && !m_fault_covers_vms) {
    return LogFault::kNone;
  }
  return m_fault;
}

// down: the connection is closed without effect. hang: the connection stays
// open without effect. slow: the request takes effect immediately and its
// response is delayed, so that a client that times out loses it. lose_replies:
// appends take effect and the connection is closed without a response.
void LogServer::ServeUnderFault(const HttpRequest& request,
                                const HttpExchange& exchange) {
  HttpExchange reply = exchange;
  switch (FaultFor(request)) {
    case LogFault::kDown:
      reply.Abort();
      return;
    case LogFault::kHang:
      return;
    case LogFault::kNone:
    case LogFault::kSlow:
    case LogFault::kLoseReplies:
      Serve(request, exchange);
      return;
  }
}

void LogServer::Serve(const HttpRequest& request,
                      const HttpExchange& exchange) {
  HttpExchange reply = exchange;
  if (request.path == "/log/append" && request.method == "POST") {
    Append(request, reply);
    return;
  }
  if (request.path == "/log/read" && request.method == "GET") {
    Read(request, reply);
    return;
  }
  if (request.path == "/vms" && request.method == "GET") {
    SendVms(reply);
    return;
  }
  reply.Send(Refusal(kNotFound, core::ErrorId::kNotFound, request.path));
}

void LogServer::Append(const HttpRequest& request, HttpExchange exchange) {
  if (!m_append_limiter.Admit(m_loop.now())) {
    ++m_refused_appends;
    exchange.Send(
        Refusal(kTooManyRequests, core::ErrorId::kRateLimited, request.path));
    return;
  }
  m_bytes_in += request.body.size();
  ++m_appends;
  v1::AppendReply reply;
  reply.set_offset(m_store.Append(request.body).value());
  EndAllLongPolls();

  const LogFault fault = FaultFor(request);
  if (fault == LogFault::kLoseReplies && ShouldLoseReply()) {
    ++m_lost_replies;
    exchange.Abort();
    return;
  }
  if (fault == LogFault::kSlow) {
    m_loop.After(m_response_delay, [exchange, reply]() mutable {
      exchange.Send(ProtoResponse(reply));
    });
    return;
  }
  exchange.Send(ProtoResponse(reply));
}

// Hashes a counter instead of drawing random numbers, so that runs are
// reproducible.
bool LogServer::ShouldLoseReply() {
  constexpr uint64_t kResolution = 1'000'000;
  const uint64_t sample =
      core::Hash64(std::to_string(++m_loss_counter)) % kResolution;
  return static_cast<double>(sample) <
         m_lose_ratio * static_cast<double>(kResolution);
}

void LogServer::Read(const HttpRequest& request, HttpExchange exchange) {
  ++m_reads;
  PendingRead read;
  read.id = ++m_next_read_id;
  read.from = core::LogOffset(request.QueryNumber("from", 0));
  read.max_bytes = request.QueryNumber("max_bytes", kDefaultReadBytes);
  read.exchange = std::move(exchange);
  const core::Duration wait =
      std::chrono::milliseconds(request.QueryNumber("wait_ms", 0));
  if (FaultFor(request) == LogFault::kSlow) {
    m_loop.After(m_response_delay,
                 [this, read = std::move(read)] { AnswerRead(read); });
    return;
  }
  if (read.from == m_store.end() && wait.count() > 0) {
    StartLongPoll(std::move(read), wait);
    return;
  }
  AnswerRead(read);
}

void LogServer::StartLongPoll(PendingRead read, core::Duration wait) {
  const uint64_t id = read.id;
  HttpExchange exchange = read.exchange;
  m_long_polls.push_back(std::move(read));
  exchange.OnClientDisconnected([this, id] {
    m_long_polls.remove_if(
        [id](const PendingRead& pending) { return pending.id == id; });
  });
  m_loop.After(wait, [this, id] { EndLongPoll(id); });
}

void LogServer::EndLongPoll(uint64_t id) {
  for (auto pending = m_long_polls.begin(); pending != m_long_polls.end();
       ++pending) {
    if (pending->id != id) {
      continue;
    }
    const PendingRead read = std::move(*pending);
    m_long_polls.erase(pending);
    AnswerRead(read);
    return;
  }
}

void LogServer::EndAllLongPolls() {
  std::list<PendingRead> pending;
  pending.swap(m_long_polls);
  for (const PendingRead& read : pending) {
    AnswerRead(read);
  }
}

void LogServer::AnswerRead(const PendingRead& read) {
  const HttpResponse response =
      ProtoResponse(m_store.Read(read.from, read.max_bytes));
  m_bytes_out += response.body.size();
  HttpExchange exchange = read.exchange;
  exchange.Send(response);
}

void LogServer::SendVms(HttpExchange exchange) {
  HttpResponse response;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  const auto status = google::protobuf::util::MessageToJsonString(
      m_vms.Get(m_loop.now()), &response.body, options);
  if (!status.ok()) {
    response.body = "{}";
  }
  exchange.Send(response);
}

void LogServer::SetVms(const HttpRequest& request, HttpExchange exchange) {
  v1::VmList vms;
  const auto status =
      google::protobuf::util::JsonStringToMessage(request.body, &vms);
  if (!status.ok()) {
    exchange.Send(
        Refusal(kBadRequest, core::ErrorId::kMalformedJson, request.path));
    return;
  }
  m_vms.Set(m_loop.now(), std::move(vms));
  exchange.Send(JsonResponse(200, {{"ok", true}}));
}

void LogServer::HandleControl(const HttpRequest& request,
                              HttpExchange exchange) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    exchange.Send(ErrorResponse(kBadRequest, core::Failure(parsed)));
    return;
  }
  const boost::json::object& command = core::Value(parsed);
  const auto fault = ParseFault(StringMember(command, "mode"));
  if (!fault) {
    exchange.Send(Refusal(kBadRequest, core::ErrorId::kBadRequest, "mode"));
    return;
  }
  m_fault = *fault;
  m_fault_client = StringMember(command, "for_client");
  m_fault_covers_vms = BoolMember(command, "vms", false);
  m_response_delay = std::chrono::milliseconds(
      NumberMember(command, "slow_ms", kDefaultSlowMs));
  const boost::json::value* ratio = command.if_contains("lose_ratio");
  m_lose_ratio =
      ratio != nullptr && ratio->is_number() ? ratio->to_number<double>() : 1.0;
  exchange.Send(JsonResponse(200, {{"ok", true}}));
}

void LogServer::SendStats(HttpExchange exchange) const {
  exchange.Send(
      JsonResponse(200, {{"appends", m_appends},
                         {"refused_appends", m_refused_appends},
                         {"lost_replies", m_lost_replies},
                         {"reads", m_reads},
                         {"bytes_in", m_bytes_in},
                         {"bytes_out", m_bytes_out},
                         {"first_retained", m_store.first_retained().value()},
                         {"end", m_store.end().value()}}));
}

}  // namespace coppervalve::standin
