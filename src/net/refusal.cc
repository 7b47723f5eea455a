#include "coppervalve/net/refusal.h"

#include <boost/json.hpp>
#include <chrono>  // ceil

namespace coppervalve::net {

Refusal RefusalOf(core::Error error) {
  const core::RunState state = core::Describe(error.id).run_state;
  return {std::move(error), state, std::nullopt};
}

HttpHead RefusalHead(const Refusal& refusal) {
  HttpHead head;
  head.status = core::Describe(refusal.error.id).http_status;
  head.headers = {{"content-type", "application/json"},
                  {"x-coppervalve-run-state",
                   std::string(core::RunStateName(refusal.run_state))}};
  if (refusal.retry_after) {
    // Rounded up, because a caller that retries too early is refused again.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after);
    head.headers.emplace_back("retry-after", std::to_string(seconds.count()));
  }
  return head;
}

std::string RefusalJson(const Refusal& refusal) {
  const core::Error& error = refusal.error;
  std::string message = error.subject;
  if (!message.empty() && !error.detail.empty()) {
    message += ": ";
  }
  message += error.detail;
  boost::json::object body{
      {"id", core::ErrorCode(error.id)},
      {"name", core::Describe(error.id).name},
      {"message", message},
      {"run_state", core::RunStateName(refusal.run_state)},
  };
  if (refusal.retry_after) {
    const auto millis =
        std::chrono::ceil<std::chrono::milliseconds>(*refusal.retry_after);
    body["retry_after_ms"] = millis.count();
  }
  return boost::json::serialize(boost::json::object{{"error", body}});
}

std::string RefusalEvent(const Refusal& refusal) {
  return "event: error\ndata: " + RefusalJson(refusal) + "\n\n";
}

}  // namespace coppervalve::net
