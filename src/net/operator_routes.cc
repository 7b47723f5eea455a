#include "operator_routes.h"

#include <string_view>  // string_view

#include "caller_routes.h"
#include "coppervalve/core/hash.h"

namespace coppervalve::net {

namespace {

using core::ErrorId;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;

HttpHead Head(unsigned status, std::string type) {
  return {status, {{"content-type", std::move(type)}}};
}

Exchange RouteAdmin(const OperatorContext& context,
                    TrafficWorker& worker,
                    const HttpRequest& request) {
  const std::string_view given = BearerToken(request.headers);
  if (context.token.empty() || !core::EqualSecrets(given, context.token)) {
    return worker.RefuseNow(
        {ErrorId::kUnauthorized, "authorization", "the operator token"});
  }
  const std::string_view path = PathOf(request.target);
  const bool status = path == "/admin/status";
  const bool drain = path == "/admin/drain";
  if (!status && !drain) {
    return worker.RefuseNow({ErrorId::kNotFound, std::string(path), ""});
  }
  if (request.method != (status ? "GET" : "POST")) {
    return worker.RefuseNow(
        {ErrorId::kMethodNotAllowed, "method", status ? "GET" : "POST"});
  }
  if (status) {
    return worker.QueryStatus(false);
  }
  context.drain();
  return worker.AnswerNow(Head(kAccepted, "application/json"),
                          R"({"draining":true})");
}

}  // namespace

Exchange RouteOperator(const OperatorContext& context,
                       TrafficWorker& worker,
                       const HttpRequest& request) {
  const std::string_view path = PathOf(request.target);
  if (path == "/healthz") {
    return worker.AnswerNow(Head(kOk, "application/json"), R"({"alive":true})");
  }
  if (path == "/readyz") {
    return worker.QueryStatus(true);
  }
  if (path == "/metrics") {
    return worker.AnswerNow(Head(kOk, "text/plain; version=0.0.4"),
                            context.metrics_text ? context.metrics_text() : "");
  }
  if (path.starts_with("/admin/")) {
    return RouteAdmin(context, worker, request);
  }
  return worker.RefuseNow({ErrorId::kNotFound, std::string(path), ""});
}

}  // namespace coppervalve::net
