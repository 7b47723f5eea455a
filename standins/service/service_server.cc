#include "standins/service/service_server.h"

#include <chrono>    // milliseconds
#include <map>       // map
#include <optional>  // optional
#include <utility>   // move

#include "coppervalve/standin/json.h"

namespace coppervalve::standin {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kInternalError = 500;
constexpr int64_t kDefaultSlowMs = 1'000;

std::optional<ServiceFault> ParseFault(const std::string& mode) {
  static const std::map<std::string, ServiceFault> modes = {
      {"ok", ServiceFault::kNone},
      {"slow", ServiceFault::kSlow},
      {"silent", ServiceFault::kSilent},
      {"error", ServiceFault::kError},
      {"refuse", ServiceFault::kRefuse},
      {"cut", ServiceFault::kCut},
      {"die-before-answer", ServiceFault::kDieBeforeAnswer}};
  const auto found = modes.find(mode);
  if (found == modes.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace

ServiceServer::ServiceServer(EventLoop& loop, const ServiceOptions& options)
    : m_loop(loop), m_options(options), m_file(options.record_path) {}

void ServiceServer::Handle(const HttpRequest& request,
                           const HttpExchange& exchange) {
  if (!HandleAdmin(request, exchange)) {
    HandleCall(request, exchange);
  }
}

// Records for the audit and the control of faults work under every fault.
bool ServiceServer::HandleAdmin(const HttpRequest& request,
                                HttpExchange exchange) {
  if (request.path == "/control") {
    HandleControl(request, std::move(exchange));
    return true;
  }
  if (request.path == "/records") {
    exchange.Send(JsonResponse(kOk, m_records));
    return true;
  }
  return false;
}

// refuse and error: the call has no effect. Otherwise it takes effect on
// arrival. silent: no response is sent, the connection stays open.
// die-before-answer: the connection is closed without a response. cut: the
// connection is closed in the middle of the response.
void ServiceServer::HandleCall(const HttpRequest& request,
                               const HttpExchange& exchange) {
  HttpExchange reply = exchange;
  if (m_fault == ServiceFault::kRefuse) {
    reply.Abort();
    return;
  }
  if (m_fault == ServiceFault::kError) {
    reply.Send(ErrorResponse(
        kInternalError, {core::ErrorId::kUpstreamFailed, "service", "fault"}));
    return;
  }
  const bool is_health_check = request.path == "/health";
  const HttpResponse response = is_health_check
                                    ? JsonResponse(kOk, {{"status", "ok"}})
                                    : RunCall(request);
  const bool is_slow = m_fault == ServiceFault::kSlow;
  const core::Duration delay = is_slow ? m_response_delay : m_options.latency;
  m_loop.After(delay, [this, reply, response] { Answer(reply, response); });
}

HttpResponse ServiceServer::RunCall(const HttpRequest& request) {
  const std::string key = request.Header("idempotency-key");
  const std::string request_id = request.Header("x-request-id");
  const uint64_t runs = ++m_runs_by_key[key];
  const boost::json::object record{
      {"service", m_options.name},
      {"request_id", request_id},
      {"key", key},
      {"key_runs", runs},
      {"account", request.Header("x-coppervalve-account")},
      {"method", request.method},
      {"path", request.path},
      {"body_bytes", request.body.size()}};
  m_records.emplace_back(record);
  m_file.Write(record);
  HttpResponse response = JsonResponse(kOk, record);
  response.headers.emplace_back("x-request-id", request_id);
  return response;
}

void ServiceServer::Answer(HttpExchange exchange,
                           const HttpResponse& response) const {
  switch (m_fault) {
    case ServiceFault::kSilent:
      return;
    case ServiceFault::kDieBeforeAnswer:
      exchange.Abort();
      return;
    case ServiceFault::kCut:
      exchange.StartStream(response);
      exchange.Write(response.body.substr(0, response.body.size() / 2));
      exchange.Abort();
      return;
    case ServiceFault::kNone:
    case ServiceFault::kSlow:
    case ServiceFault::kError:
    case ServiceFault::kRefuse:
      exchange.Send(response);
      return;
  }
}

void ServiceServer::HandleControl(const HttpRequest& request,
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
  m_response_delay = std::chrono::milliseconds(
      NumberMember(command, "slow_ms", kDefaultSlowMs));
  exchange.Send(JsonResponse(kOk, {{"ok", true}}));
}

}  // namespace coppervalve::standin
