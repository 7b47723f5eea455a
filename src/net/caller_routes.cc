#include "caller_routes.h"

#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // move

#include "coppervalve/net/model_json.h"
#include "upstream_load.h"

namespace coppervalve::net {

namespace {

using core::ErrorId;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kAddressesPath = "/v1/addresses";
constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::string_view kBearer = "bearer ";
constexpr size_t kMaxKeyBytes = 256;

core::Error WrongMethod(std::string_view allowed) {
  return {ErrorId::kMethodNotAllowed, "method", "use " + std::string(allowed)};
}

core::Status ReadDeadline(const HeaderList& headers,
                          core::TimePoint now,
                          std::optional<core::TimePoint>& deadline) {
  const std::string_view text = HeaderValue(headers, "x-deadline-ms");
  if (text.empty()) {
    return core::Ok();
  }
  constexpr uint32_t kMaxMillis = 24U * 3600 * 1000;
  const auto millis = ReadNumber(text);
  if (!millis || *millis == 0 || *millis > kMaxMillis) {
    return core::Error{ErrorId::kBadRequest, "x-deadline-ms",
                       "must be 1 to " + std::to_string(kMaxMillis)};
  }
  deadline = now + std::chrono::milliseconds(*millis);
  return core::Ok();
}

core::Result<router::RequestArrived> ReadCommon(
    const HttpRequest& request,
    core::RequestId id,
    core::TimePoint now,
    const std::optional<core::AccountId>& account) {
  router::RequestArrived event;
  event.request = id;
  event.method = request.method;
  event.path = std::string(PathOf(request.target));
  for (const auto& header : request.headers) {
    // The API key must not reach rules or logs.
    if (header.first != "authorization") {
      event.headers.push_back(header);
    }
  }
  event.api_key = std::string(BearerToken(request.headers));
  event.body_hash = core::HashOf(request.body);
  event.body_size = core::Bytes(static_cast<int64_t>(request.body.size()));
  event.idempotency_key =
      std::string(HeaderValue(request.headers, "idempotency-key"));
  event.forwarded_account = account;
  if (event.idempotency_key.size() > kMaxKeyBytes) {
    return core::Error{ErrorId::kBadRequest, "idempotency-key",
                       "at most " + std::to_string(kMaxKeyBytes) + " bytes"};
  }
  const core::Status read = ReadDeadline(request.headers, now, event.deadline);
  if (!core::IsOk(read)) {
    return core::Failure(read);
  }
  return event;
}

core::Result<CallerRoute> RouteModel(const HttpRequest& request,
                                     router::RequestArrived event) {
  if (request.method != "POST") {
    return WrongMethod("POST");
  }
  const core::Result<ModelRequest> parsed = ReadModelRequest(request.body);
  if (!core::IsOk(parsed)) {
    return core::Failure(parsed);
  }
  const ModelRequest& model = core::Value(parsed);
  if (model.stream && request.http_1_0) {
    return core::Error{
        ErrorId::kBadRequest, "stream",
        "requires HTTP/1.1: HTTP/1.0 cannot mark the end of a stream"};
  }
  event.model = model.model;
  event.max_output_tokens = model.max_output_tokens;
  event.stream = model.stream;
  event.prompt_prefix = model.prompt_prefix;
  return CallerRoute{std::move(event), model.wants_usage};
}

core::Result<CallerRoute> RouteService(router::RequestArrived event) {
  std::string_view rest = event.path;
  rest.remove_prefix(kServicePrefix.size());
  const std::string_view name = rest.substr(0, rest.find('/'));
  if (name.empty()) {
    return core::Error{ErrorId::kNotFound, event.path,
                       "the path has no service name"};
  }
  event.service = core::ServiceId(std::string(name));
  return CallerRoute{std::move(event), false};
}

}  // namespace

std::string ServiceTarget(std::string_view target) {
  target.remove_prefix(kServicePrefix.size());
  const size_t name_end = target.find_first_of("/?");
  if (name_end == std::string_view::npos) {
    return "/";
  }
  const std::string_view rest = target.substr(name_end);
  return rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
}

std::string_view BearerToken(const HeaderList& headers) {
  std::string_view value = HeaderValue(headers, "authorization");
  if (value.size() < kBearer.size()) {
    return {};
  }
  for (size_t i = 0; i < kBearer.size(); ++i) {
    const char c = value[i];
    const bool upper = c >= 'A' && c <= 'Z';
    if ((upper ? static_cast<char>(c - 'A' + 'a') : c) != kBearer[i]) {
      return {};
    }
  }
  value.remove_prefix(kBearer.size());
  return value;
}

core::Result<CallerRoute> RouteCaller(
    const HttpRequest& request,
    core::RequestId id,
    core::TimePoint now,
    const std::optional<core::AccountId>& account) {
  core::Result<router::RequestArrived> common =
      ReadCommon(request, id, now, account);
  if (!core::IsOk(common)) {
    return core::Failure(common);
  }
  router::RequestArrived event = core::TakeValue(std::move(common));
  const std::string_view path = PathOf(request.target);
  if (path == kChatPath || path == kCompletionPath) {
    return RouteModel(request, std::move(event));
  }
  if (path.starts_with(kServicePrefix)) {
    return RouteService(std::move(event));
  }
  const bool addresses = path == kAddressesPath;
  const bool status =
      path.starts_with(kRequestPrefix) && path.size() > kRequestPrefix.size();
  if (!addresses && !status) {
    return core::Error{ErrorId::kNotFound, std::string(path), "no such path"};
  }
  if (request.method != "GET") {
    return WrongMethod("GET");
  }
  if (addresses) {
    return CallerRoute{router::AddressesRequested{id, event.api_key}, false};
  }
  return CallerRoute{
      router::StatusRequested{id, event.api_key,
                              std::string(path.substr(kRequestPrefix.size())),
                              account},
      false};
}

}  // namespace coppervalve::net
