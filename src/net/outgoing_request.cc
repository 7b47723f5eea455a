#include "outgoing_request.h"

#include <algorithm>    // max
#include <chrono>       // milliseconds
#include <string_view>  // string_view
#include <utility>      // move

#include "caller_routes.h"
#include "coppervalve/net/clock.h"
#include "coppervalve/net/model_json.h"
#include "http_serializer.h"

namespace coppervalve::net {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kDeadlineHeader = "x-deadline-ms";
// An answer that is not streamed shows no progress until its last token. The
// kernel's probes detect a dead connection; this limits a hung engine.
constexpr milliseconds kMaxTimePerToken{100};

HeaderList UpstreamHeaders(const HttpRequest& request,
                           const router::Dispatch& action,
                           const std::string& request_prefix) {
  HeaderList headers;
  for (const auto& [name, value] : request.headers) {
    const bool ours = name == "authorization" || name == kDeadlineHeader ||
                      name == "x-request-id" ||
                      name.starts_with("x-coppervalve-");
    if (!ours) {
      headers.emplace_back(name, value);
    }
  }
  headers.emplace_back("x-request-id",
                       request_prefix + std::to_string(action.request.value()));
  headers.emplace_back("x-coppervalve-account", action.account.value());
  headers.emplace_back("x-coppervalve-priority",
                       std::to_string(action.priority));
  return headers;
}

}  // namespace

std::optional<AttemptPlan> PlanAttempt(const CallerRequest& request,
                                       const router::Dispatch& action,
                                       const ShellSettings& settings,
                                       const std::string& request_prefix) {
  HttpRequest sent;
  sent.method = request.http.method;
  sent.target = request.http.target;
  sent.headers = UpstreamHeaders(request.http, action, request_prefix);
  if (action.model_work) {
    core::Result<std::string> capped =
        CapModelRequest(request.http.body, action.max_output_tokens);
    if (!core::IsOk(capped)) {
      return std::nullopt;
    }
    sent.body = core::TakeValue(std::move(capped));
  } else {
    sent.target = ServiceTarget(request.http.target);
    sent.body = request.http.body;
  }
  AttemptPlan plan;
  plan.request = action.request;
  plan.attempt = action.attempt;
  plan.address = action.address;
  plan.wire = SerializeRequest(sent, action.address);
  plan.head_request = sent.method == "HEAD";
  plan.model_work = action.model_work;
  plan.stream = request.stream;
  plan.relay_usage = request.wants_usage;
  plan.connect_timeout = settings.connect_timeout;
  plan.first_token_timeout = action.first_token_timeout;
  plan.inter_token_timeout = action.inter_token_timeout;
  plan.complete_answer_timeout =
      action.first_token_timeout +
      kMaxTimePerToken * action.max_output_tokens.value();
  plan.max_answer_bytes = settings.max_answer_bytes;
  return plan;
}

ForwardHead ForwardHeadOf(const HttpRequest& request,
                          const std::optional<core::TimePoint>& deadline,
                          const router::Forward& action) {
  ForwardHead head;
  head.account = action.account;
  head.to_incarnation = action.incarnation;
  head.method = request.method;
  head.path = request.target;
  for (const auto& [name, value] : request.headers) {
    if (name == "idempotency-key") {
      head.idempotency_key = value;
      continue;
    }
    const bool dropped = IsHopByHop(name) || name == "host" ||
                         name == "authorization" || name == kDeadlineHeader;
    if (!dropped) {
      head.headers.emplace_back(name, value);
    }
  }
  if (deadline) {
    // The header counts from arrival: passed on unchanged, each hop would give
    // the request its full time again.
    const auto left =
        std::chrono::duration_cast<milliseconds>(*deadline - BootNow());
    head.headers.emplace_back(
        std::string(kDeadlineHeader),
        std::to_string(std::max<int64_t>(left.count(), 1)));
  }
  return head;
}

}  // namespace coppervalve::net
