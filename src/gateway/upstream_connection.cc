#include "coppervalve/gateway/upstream_connection.h"

#include <charconv>  // from_chars
#include <chrono>    // milliseconds
#include <utility>   // move, exchange

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;

// TCP retransmits a lost SYN only after a second; trying another upstream is
// faster.
constexpr std::chrono::milliseconds kConnectTimeout{350};

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
    : m_dialer(dialer), m_address(std::move(address)) {}

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
  m_connecting = m_dialer.Dial(
      m_address, kConnectTimeout,
      [self = shared_from_this()](ConnectResult result, tcp::socket socket) {
        self->m_connecting.reset();
        if (result != ConnectResult::kOpen) {
          self->Finish(AttemptEnd::kNotSent, ToString(result));
          return;
        }
        self->OnConnected(std::move(socket));
      });
}

void UpstreamConnection::OnConnected(tcp::socket socket) {
  m_stream = std::make_shared<Stream>(std::move(socket));
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
  m_sent_before = 0;
  if (m_handlers->may_send && !m_handlers->may_send()) {
    Finish(AttemptEnd::kWithheld, "upstream no longer accepts requests");
    return;
  }
  m_stream->Send(m_request);
}

bool UpstreamConnection::sent_any() const {
  return m_stream && m_stream->sent() > m_sent_before;
}

void UpstreamConnection::OnBytes(std::string_view bytes) {
  if (!m_active) {
    // Unsolicited bytes, such as a second response. On a reused connection
    // they would be taken for the response to the next request.
    Close();
    return;
  }
  m_unread.append(bytes);
  const core::Result<size_t> used = m_reader->Feed(m_unread);
  if (!core::IsOk(used)) {
    Finish(AttemptEnd::kBroken, "invalid HTTP response");
    return;
  }
  m_unread.erase(0, core::Value(used));
  Deliver();
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
                 m_stream->unsent() == 0;
    Finish(AttemptEnd::kComplete, {});
  }
}

void UpstreamConnection::OnEnd(StreamEnd end) {
  if (!m_active) {
    Close();
    return;
  }
  // A response without a length is complete when the upstream closes the
  // connection. After a reset its end may be missing.
  if (end == StreamEnd::kOrderly && m_reader->FinishAtEof()) {
    Deliver();
    return;
  }
  const bool sent = sent_any();
  Finish(sent ? AttemptEnd::kBroken : AttemptEnd::kNotSent,
         end == StreamEnd::kOrderly ? "connection closed" : "connection reset");
}

void UpstreamConnection::Finish(AttemptEnd end, std::string_view why) {
  if (!m_active) {
    return;
  }
  m_active = false;
  if (!m_reusable && m_stream) {
    m_stream->Abort();
  }
  const auto handlers = std::exchange(m_handlers, nullptr);
  handlers->on_end(end, why);
}

void UpstreamConnection::Cancel() {
  m_active = false;
  m_reusable = false;
  m_handlers.reset();
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
