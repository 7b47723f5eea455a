#include "log_transport.h"

#include <chrono>   // duration_cast
#include <string>   // string
#include <utility>  // move

#include "http_channel.h"

namespace coppervalve::net {

namespace {

using core::ErrorId;

constexpr unsigned kOk = 200;
constexpr size_t kReadBytes = size_t{1024} * 1024;
// An entry may exceed the requested size, and the framing adds to it.
constexpr size_t kMaxReplyBytes = size_t{16} * 1024 * 1024;

core::Error LogError(std::string detail) {
  return {ErrorId::kLogUnavailable, "log", std::move(detail)};
}

template <typename Message>
core::Result<Message> ParseReply(const core::Result<HttpReply>& result) {
  if (!core::IsOk(result)) {
    return LogError(core::Failure(result).detail);
  }
  const HttpReply& reply = core::Value(result);
  if (reply.head.status != kOk) {
    return LogError("HTTP status " + std::to_string(reply.head.status));
  }
  Message message;
  if (!message.ParseFromString(reply.body)) {
    return LogError("the reply cannot be parsed");
  }
  return message;
}

}  // namespace

struct LogTransport::Impl {
  Impl(boost::asio::io_context& context,
       const ShellSettings& settings,
       EventSink a_report)
      : timeout(settings.log_timeout),
        report(std::move(a_report)),
        reads(context, settings.log_address, kMaxReplyBytes),
        appends(context, settings.log_address, kMaxReplyBytes) {}

  const std::chrono::milliseconds timeout;
  const EventSink report;
  // Separate connections, so that an append does not wait for a long-polling
  // read.
  HttpChannel reads;
  HttpChannel appends;
};

LogTransport::LogTransport(boost::asio::io_context& context,
                           const ShellSettings& settings,
                           EventSink report)
    : m_impl(std::make_unique<Impl>(context, settings, std::move(report))) {}

LogTransport::~LogTransport() = default;

void LogTransport::Read(const router::ReadLog& action) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(action.wait);
  HttpRequest request;
  request.method = "GET";
  request.target = "/log/read?from=" + std::to_string(action.from.value()) +
                   "&max_bytes=" + std::to_string(kReadBytes) +
                   "&wait_ms=" + std::to_string(wait.count());
  m_impl->reads.Call(
      request, m_impl->timeout + wait,
      [report = m_impl->report](const core::Result<HttpReply>& result) {
        core::Result<v1::ReadReply> reply = ParseReply<v1::ReadReply>(result);
        if (!core::IsOk(reply)) {
          report(router::LogReadFailed{core::Failure(reply)});
          return;
        }
        report(router::LogRead{core::TakeValue(std::move(reply))});
      });
}

void LogTransport::Append(const router::AppendLog& action) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/log/append";
  request.headers = {{"content-type", "application/x-protobuf"}};
  request.body = action.entry;
  m_impl->appends.Call(
      request, m_impl->timeout,
      [report = m_impl->report](const core::Result<HttpReply>& result) {
        const core::Result<v1::AppendReply> reply =
            ParseReply<v1::AppendReply>(result);
        if (!core::IsOk(reply)) {
          report(router::LogAppendFailed{core::Failure(reply)});
          return;
        }
        report(
            router::LogAppended{core::LogOffset(core::Value(reply).offset())});
      });
}

}  // namespace coppervalve::net
