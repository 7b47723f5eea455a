#include "apps/coppervalve/log_client.h"

#include <thread>   // sleep_for
#include <utility>  // move

#include "apps/coppervalve/http_client.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kAttemptTimeout{2'000};
constexpr milliseconds kRetryDelay{200};
constexpr unsigned kHttpOk = 200;
constexpr size_t kReadBytes = size_t{4} << 20U;

// Retries until an answer parses as `Reply` or the timeout expires.
template <typename Reply>
core::Result<Reply> SendUntilAnswered(const HttpCall& call,
                                      milliseconds call_timeout) {
  const Clock::time_point deadline = Clock::now() + call_timeout;
  while (true) {
    const core::Result<HttpReply> sent = Send(call);
    std::string reason;
    if (core::IsOk(sent)) {
      const HttpReply& http = core::Value(sent);
      Reply reply;
      if (http.status == kHttpOk && reply.ParseFromString(http.body)) {
        return reply;
      }
      reason = "HTTP status " + std::to_string(http.status);
    } else if (core::Failure(sent).id == ErrorId::kOperatorUsage) {
      return core::Failure(sent);
    } else {
      reason = core::Failure(sent).detail;
    }
    if (Clock::now() + kRetryDelay >= deadline) {
      return core::Error{ErrorId::kLogUnavailable, call.address, reason};
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace

LogClient::LogClient(std::string address, milliseconds call_timeout)
    : m_address(std::move(address)), m_call_timeout(call_timeout) {}

core::Result<core::LogOffset> LogClient::Append(const v1::Entry& entry) const {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.address = m_address;
  call.target = "/log/append";
  call.body = entry.SerializeAsString();
  call.timeout = kAttemptTimeout;
  const auto reply = SendUntilAnswered<v1::AppendReply>(call, m_call_timeout);
  if (!core::IsOk(reply)) {
    return core::Failure(reply);
  }
  return core::LogOffset(core::Value(reply).offset());
}

core::Result<v1::ReadReply> LogClient::Read(core::LogOffset from,
                                            milliseconds wait) const {
  HttpCall call;
  call.address = m_address;
  call.target = "/log/read?from=" + std::to_string(from.value()) +
                "&max_bytes=" + std::to_string(kReadBytes) +
                "&wait_ms=" + std::to_string(wait.count());
  call.timeout = kAttemptTimeout + wait;
  return SendUntilAnswered<v1::ReadReply>(call, m_call_timeout);
}

}  // namespace coppervalve::cli
