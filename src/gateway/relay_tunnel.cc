#include "coppervalve/gateway/relay_tunnel.h"

#include <algorithm>  // all_of
#include <utility>    // move

#include "relay_protocol.h"

namespace coppervalve::gateway {

std::string_view ToString(RelayResult result) {
  switch (result) {
    case RelayResult::kOpen:
      return "open";
    case RelayResult::kRefused:
      return "refused to the relay too";
    case RelayResult::kUnreachable:
      return "unreachable from the relay too";
    case RelayResult::kDeclined:
      return "declined by the relay";
    case RelayResult::kFailed:
      break;
  }
  return "no answer of the relay";
}

namespace {

RelayResult ResultOf(int status) {
  switch (status) {
    case kRelayRefused:
      return RelayResult::kRefused;
    case kRelayUnreachable:
      return RelayResult::kUnreachable;
    default:
      return RelayResult::kDeclined;
  }
}

}  // namespace

std::string RelayRequest(const core::UpstreamId& upstream) {
  return std::string(kRelayMethod) + " / HTTP/1.1\r\nHost: relay\r\n" +
         std::string(kUpstreamHeader) + ": " + upstream.value() + "\r\n\r\n";
}

bool IsRelayable(const core::UpstreamId& upstream) {
  const std::string& id = upstream.value();
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) {
    return c > ' ' && c < '\x7f';
  });
}

RelayTunnel::RelayTunnel(StreamRef stream, Handlers handlers)
    : m_stream(std::move(stream)), m_handlers(std::move(handlers)) {}

// The stream's handlers keep the tunnel alive until the stream is closed.
void RelayTunnel::Open(const core::UpstreamId& upstream) {
  const auto self = shared_from_this();
  m_stream->Start({[self](std::string_view bytes) { self->OnBytes(bytes); },
                   [self](StreamEnd /*end*/) { self->OnEnd(); },
                   {}});
  m_stream->Send(RelayRequest(upstream));
}

void RelayTunnel::OnBytes(std::string_view bytes) {
  if (m_ended) {
    return;
  }
  m_unread.append(bytes);
  const core::Result<size_t> used = m_reader.Feed(m_unread);
  if (!core::IsOk(used)) {
    OnEnd();
    return;
  }
  m_unread.erase(0, core::Value(used));
  if (!m_reported && m_reader.head_done()) {
    const int status = m_reader.head().status;
    if (status != kRelayOpen) {
      m_ended = true;
      Report(ResultOf(status));
      return;
    }
    Report(RelayResult::kOpen);
  }
  if (!m_reported) {
    return;
  }
  const std::string body = m_reader.TakeBody();
  if (!body.empty()) {
    m_handlers.on_bytes(body);
  }
  if (m_reader.done() && !m_ended) {
    m_ended = true;
    m_handlers.on_end(StreamEnd::kOrderly);
  }
}

void RelayTunnel::OnEnd() {
  if (m_ended) {
    return;
  }
  m_ended = true;
  if (!m_reported) {
    Report(RelayResult::kFailed);
    return;
  }
  m_handlers.on_end(StreamEnd::kReset);
}

void RelayTunnel::Report(RelayResult result) {
  m_reported = true;
  m_handlers.on_result(result);
}

}  // namespace coppervalve::gateway
