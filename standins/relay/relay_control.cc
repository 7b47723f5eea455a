#include "standins/relay/relay_control.h"

#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/standin/json.h"

namespace coppervalve::standin {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kInternalError = 500;

HttpResponse Report(const TcpRelay& relay) {
  const RelayStats stats = relay.stats();
  const std::string mode(RelayModeName(relay.mode()));
  return JsonResponse(kOk, {{"mode", mode},
                            {"accepted", stats.accepted},
                            {"open", stats.open},
                            {"bytes", stats.bytes}});
}

}  // namespace

void ControlRelay(TcpRelay& relay,
                  const HttpRequest& request,
                  HttpExchange exchange) {
  if (request.path == "/stats") {
    exchange.Send(Report(relay));
    return;
  }
  std::string_view name = request.path;
  if (name.starts_with('/')) {
    name.remove_prefix(1);
  }
  const auto mode = ParseRelayMode(name);
  if (!mode) {
    exchange.Send(ErrorResponse(
        kNotFound, {core::ErrorId::kNotFound, request.path, "mode"}));
    return;
  }
  const core::Status switched = relay.SetMode(*mode);
  exchange.Send(core::IsOk(switched)
                    ? Report(relay)
                    : ErrorResponse(kInternalError, core::Failure(switched)));
}

}  // namespace coppervalve::standin
