#include "coppervalve/gateway/upstream_connection.h"

#include <charconv>  // from_chars
#include <chrono>    // seconds
#include <utility>   // move, exchange

#include "coppervalve/core/memory.h"
#include "relay_protocol.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Reading pauses after a read only, so each response may hold this much beyond
// any limit.
constexpr size_t kReadSize = 16'384;

core::Duration KeepAliveOf(const http1::ResponseHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* value = head.headers.Find("keep-alive");
  if (value == nullptr) {
    return {};
  }
  const size_t at = value->find(kTimeout);
  if (at == std::string::npos) {
    return {};
  }
  int seconds = 0;
  const char* first = value->data() + at + kTimeout.size();
  std::from_chars(first, value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

UpstreamConnection::UpstreamConnection(const Dialer& dialer,
                                       std::string address)
    : m_dialer(dialer),
      m_address(std::move(address)),
      m_open_timer(dialer.io()) {}

UpstreamConnection::UpstreamConnection(const Dialer& dialer,
                                       std::string relay,
                                       core::UpstreamId upstream)
    : m_dialer(dialer),
      m_address(std::move(relay)),
      m_relayed_to(std::move(upstream)),
      m_open_timer(dialer.io()) {}

void UpstreamConnection::Send(std::string request,
                              bool without_body,
                              Handlers handlers) {
  m_request = std::move(request);
  m_handlers = std::make_shared<const Handlers>(std::move(handlers));
  m_reader = std::make_unique<http1::ResponseReader>(without_body);
  m_unread.clear();
  m_active = true;
  m_head_delivered = false;
  m_reusable = false;
  if (!m_stream) {
    Connect();
    return;
  }
  m_sent_before = m_stream->sent();
  m_stream->Send(m_request);
}

void UpstreamConnection::Connect() {
  const auto on_done = [self = shared_from_this()](ConnectResult result,
                                                   tcp::socket socket) {
    self->m_connecting.reset();
    if (result == ConnectResult::kOpen) {
      self->OnConnected(std::move(socket));
    } else if (self->IsRelayed()) {
      self->OnRelayResult(RelayResult::kFailed);
    } else {
      self->Finish(AttemptEnd::kNotSent, ToString(result));
    }
  };
  m_connecting =
      IsRelayed()
          ? m_dialer.DialRouter(m_address, kUpstreamConnectTimeout, on_done)
          : m_dialer.Dial(m_address, kUpstreamConnectTimeout, on_done);
}

void UpstreamConnection::OnConnected(tcp::socket socket) {
  m_stream = std::make_shared<Stream>(std::move(socket));
  m_stream->LimitReads(kReadSize);
  if (IsRelayed()) {
    OpenTunnel();
    return;
  }
  std::weak_ptr<UpstreamConnection> weak = weak_from_this();
  m_stream->Start({[weak](std::string_view bytes) {
                     if (const auto self = weak.lock()) {
                       self->OnBytes(bytes);
                     }
                   },
                   [weak](StreamEnd end) {
                     if (const auto self = weak.lock()) {
                       self->OnEnd(end);
                     }
                   },
                   {}});
  OnOpen();
}

void UpstreamConnection::OpenTunnel() {
  const std::weak_ptr<UpstreamConnection> weak = weak_from_this();
  m_tunnel = std::make_shared<RelayTunnel>(
      m_stream, RelayTunnel::Handlers{[weak](RelayResult result) {
                                        if (const auto self = weak.lock()) {
                                          self->OnRelayResult(result);
                                        }
                                      },
                                      [weak](std::string_view bytes) {
                                        if (const auto self = weak.lock()) {
                                          self->OnBytes(bytes);
                                        }
                                      },
                                      [weak](StreamEnd end) {
                                        if (const auto self = weak.lock()) {
                                          self->OnEnd(end);
                                        }
                                      }});
  m_tunnel->Open(*m_relayed_to);
  m_open_timer.expires_after(kRelayOpenTimeout);
  m_open_timer.async_wait([weak](const boost::system::error_code& code) {
    const auto self = weak.lock();
    if (!code && self && !self->m_open) {
      self->OnRelayResult(RelayResult::kFailed);
    }
  });
}

void UpstreamConnection::OnRelayResult(RelayResult result) {
  if (!m_active) {
    return;
  }
  m_open_timer.cancel();
  m_relay_result = result;
  if (result != RelayResult::kOpen) {
    Finish(AttemptEnd::kNotSent, ToString(result));
    return;
  }
  OnOpen();
}

void UpstreamConnection::OnOpen() {
  m_open = true;
  m_sent_before = m_stream->sent();
  if (m_handlers->may_send && !m_handlers->may_send()) {
    Finish(AttemptEnd::kWithheld, "upstream no longer accepts requests");
    return;
  }
  m_stream->Send(m_request);
}

bool UpstreamConnection::sent_any() const {
  return m_open && m_stream->sent() > m_sent_before;
}

void UpstreamConnection::OnBytes(std::string_view bytes) {
  if (!m_active) {
    // Unsolicited bytes, such as a second response. On a reused connection
    // they would be taken for the response to the next request.
    Close();
    return;
  }
  if (!core::IsOk(Parse(bytes))) {
    Finish(AttemptEnd::kBroken, "invalid HTTP response");
    return;
  }
  if (!MayHoldUnfinished()) {
    Finish(AttemptEnd::kBroken, "an unfinished response holds too much");
    return;
  }
  Deliver();
}

// Only what the parser leaves is copied, and nothing is reserved for more.
core::Status UpstreamConnection::Parse(std::string_view bytes) {
  if (!m_unread.empty()) {
    m_unread.append(bytes);
    bytes = m_unread;
  }
  const core::Result<size_t> used = m_reader->Feed(bytes);
  if (!core::IsOk(used)) {
    return core::Failure(used);
  }
  if (m_unread.empty() || core::Value(used) != 0) {
    std::string rest(bytes.substr(core::Value(used)));
    m_unread.swap(rest);
  }
  return core::Ok();
}

bool UpstreamConnection::MayHoldUnfinished() const {
  const auto handlers = m_handlers;
  return m_reader->done() || !handlers->may_hold ||
         handlers->may_hold(m_unread.capacity() +
                            m_reader->head().headers.held_bytes());
}

void UpstreamConnection::Deliver() {
  const auto keep = shared_from_this();
  const auto handlers = m_handlers;
  if (!m_head_delivered && m_reader->head_done()) {
    m_head_delivered = true;
    m_keep_alive = KeepAliveOf(m_reader->head());
    handlers->on_head(m_reader->head());
  }
  if (!m_active) {
    return;
  }
  const std::string body = m_reader->TakeBody();
  if (!body.empty()) {
    handlers->on_body(body);
  }
  if (m_active && m_reader->done()) {
    // An upstream may respond before it has read the whole request. If the
    // request was not sent completely, the upstream would read the rest of it
    // as the next request.
    m_reusable = m_reader->head().keep_alive && m_unread.empty() &&
                 m_stream->unsent() == 0 && !IsRelayed();
    Finish(AttemptEnd::kComplete, {});
  }
}

void UpstreamConnection::OnEnd(StreamEnd end) {
  if (!m_active) {
    Close();
    return;
  }
  const bool premature = end == StreamEnd::kOrderly && EndsTooEarly();
  // A response without a length is complete when the upstream closes the
  // connection. After a reset its end may be missing.
  if (end == StreamEnd::kOrderly && !premature && m_reader->FinishAtEof()) {
    Deliver();
    return;
  }
  std::string_view why = "connection reset";
  if (end == StreamEnd::kOrderly) {
    why = premature ? "connection closed before the request was taken"
                    : "connection closed";
  }
  Finish(sent_any() ? AttemptEnd::kBroken : AttemptEnd::kNotSent, why);
}

// An upstream that stops reading a request resets its connection sooner or
// later, so an end before that does not show that a success is complete. A
// failure tells its caller enough without its end, such as that the request is
// too large.
bool UpstreamConnection::EndsTooEarly() {
  return m_reader->head_done() && IsSuccess(m_reader->head().status) &&
         !m_stream->PeerHasAll();
}

void UpstreamConnection::Finish(AttemptEnd end, std::string_view why) {
  if (!m_active) {
    return;
  }
  m_active = false;
  if (!m_reusable && m_stream) {
    m_stream->Abort();
  }
  core::Release(m_request);
  core::Release(m_unread);
  m_reader.reset();
  const auto handlers = std::exchange(m_handlers, nullptr);
  handlers->on_end(end, why);
}

void UpstreamConnection::Cancel() {
  m_active = false;
  m_reusable = false;
  m_handlers.reset();
  m_open_timer.cancel();
  if (m_connecting) {
    m_connecting->Cancel();
    m_connecting.reset();
  }
  Close();
}

void UpstreamConnection::PauseReading() {
  if (m_stream) {
    m_stream->PauseReading();
  }
}

void UpstreamConnection::ResumeReading() {
  if (m_stream) {
    m_stream->ResumeReading();
  }
}

void UpstreamConnection::Close() {
  m_reusable = false;
  if (m_stream) {
    m_stream->Abort();
  }
}

}  // namespace coppervalve::gateway
