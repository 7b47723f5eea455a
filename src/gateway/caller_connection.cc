#include "coppervalve/gateway/caller_connection.h"

#include <boost/asio/post.hpp>
#include <utility>  // move, exchange

#include "chunk.h"
#include "coppervalve/core/memory.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// Limit of pipelined bytes buffered while a request is in progress. Beyond it,
// reading is paused, so a disconnect of the caller is not noticed either.
constexpr size_t kMaxUnread = 65'536;
// Pipelined requests that are answered at once, before other connections get
// their turn.
constexpr size_t kMaxRequestsPerTurn = 16;
constexpr size_t kMaxUnsent = 262'144;
constexpr size_t kMaxUnsentWhenTight = 16'384;
// A request is held by its exchange, and once more while it is sent.
constexpr size_t kCopiesOfBody = 2;
constexpr const char* kRetryAfterMemory = "1";

bool HasNoBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

std::string_view ReasonOf(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Refused";
  }
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::io_context& io,
                                   boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<const Hooks> hooks)
    : m_io(io),
      m_timer(io),
      m_stream(std::make_shared<Stream>(std::move(socket))),
      m_hooks(std::move(hooks)) {}

void CallerConnection::Start() {
  std::weak_ptr<CallerConnection> weak = weak_from_this();
  const auto self = shared_from_this();
  m_entry = m_hooks->registry->Add(
      [weak](core::ConnectionLimit limit) {
        if (const auto connection = weak.lock()) {
          connection->EndForLimit(limit);
        }
      },
      [weak] {
        const auto connection = weak.lock();
        return connection && connection->m_stream->HasInput();
      });
  if (m_closed) {
    m_entry.reset();
    return;
  }
  m_stream->Start({[self](std::string_view bytes) { self->OnBytes(bytes); },
                   [self](StreamEnd /*end*/) { self->OnEnd(); },
                   [weak] {
                     if (const auto connection = weak.lock()) {
                       connection->OnDrained();
                     }
                   }});
  NextRequest();
}

void CallerConnection::SetDisconnectHandler(
    std::function<void()> on_disconnect) {
  m_on_disconnect = std::move(on_disconnect);
}

void CallerConnection::SetDrainedHandler(std::function<void()> on_drained) {
  m_on_drained = std::move(on_drained);
}

void CallerConnection::SetDrainEndHandler(
    std::function<void(DrainEnd)> on_drain_end) {
  m_on_drain_end = std::move(on_drain_end);
}

void CallerConnection::NextRequest() {
  m_busy = false;
  m_on_disconnect = nullptr;
  m_on_drained = nullptr;
  m_on_drain_end = nullptr;
  m_buffered = 0;
  const entry::CallerBounds bounds = m_hooks->bounds();
  m_reader = std::make_unique<http1::RequestReader>(
      http1::RequestBounds{bounds.header, bounds.body});
  m_continue_sent = false;
  ArmTimer(bounds.idle_time);
  UpdateEntry();
  if (!m_unread.empty()) {
    Parse();
  }
}

// The caller reads nothing, so that responses to further requests would pile
// up.
bool CallerConnection::HasUnreadResponses() const {
  return m_stream->unsent() > kMaxUnread;
}

void CallerConnection::OnDrained() {
  UpdateEntry();
  if (m_on_drained) {
    const auto handler = m_on_drained;
    handler();
  }
  if (!m_closed && !m_busy) {
    m_stream->ResumeReading();
    Parse();
  }
}

// A request that is answered at once comes back here through NextRequest();
// the loop takes the next one, so that the stack does not grow with them.
void CallerConnection::Parse() {
  if (m_parsing || m_closed) {
    return;
  }
  const auto self = shared_from_this();
  m_parsing = true;
  size_t requests = 0;
  while (ParseRequest() && ++requests < kMaxRequestsPerTurn) {
  }
  m_parsing = false;
  if (requests < kMaxRequestsPerTurn) {
    return;
  }
  boost::asio::post(m_io, [self] {
    if (!self->m_closed && !self->m_busy) {
      self->Parse();
    }
  });
}

void CallerConnection::OnBytes(std::string_view bytes) {
  m_unread.append(bytes);
  if (!m_busy) {
    Parse();
    return;
  }
  if (m_unread.size() > kMaxUnread) {
    m_stream->PauseReading();
  }
  UpdateEntry();
}

// What a connection holds counts even where its own limits allow it: all
// connections together have to fit into the memory of the process.
void CallerConnection::UpdateEntry() {
  // The update may end this connection, which drops the entry.
  if (const auto entry = m_entry) {
    entry->Update(Stage(), HeldBytes());
  }
}

core::ConnectionStage CallerConnection::Stage() const {
  if (m_closed) {
    return core::ConnectionStage::kClosing;
  }
  if (m_busy) {
    return m_stream->unsent() < kMaxUnsentWhenTight
               ? core::ConnectionStage::kBusy
               : core::ConnectionStage::kUnread;
  }
  return m_reader && m_reader->begun() ? core::ConnectionStage::kReceiving
                                       : core::ConnectionStage::kIdle;
}

size_t CallerConnection::HeldBytes() const {
  const size_t held = m_unread.size() + m_stream->unsent();
  if (m_busy) {
    return held + m_request_bytes + m_buffered;
  }
  return m_reader && m_reader->begun() ? held + m_reader->held_bytes() : held;
}

size_t CallerConnection::max_unsent() const {
  if (!HasRoom()) {
    return 0;
  }
  return m_hooks->registry->IsTight() ? kMaxUnsentWhenTight : kMaxUnsent;
}

bool CallerConnection::HasRoom() const {
  return !m_entry || m_entry->Admits();
}

// A request that was not received completely has not run, so it is refused. A
// caller that waits for its turn to send, or reads nothing, gets no answer. A
// request in progress ends as if its caller had left, but not within the call
// of the connection that needs the room.
void CallerConnection::EndForLimit(core::ConnectionLimit limit) {
  if (m_busy) {
    m_entry.reset();
    boost::asio::post(m_io, [self = shared_from_this()] { self->OnEnd(); });
    return;
  }
  const bool receiving = Stage() == core::ConnectionStage::kReceiving;
  if (receiving) {
    Reject({core::ErrorId::kMemoryLimit, "router",
            "its callers' requests exceed a limit"});
  }
  if (receiving && limit == core::ConnectionLimit::kBytes) {
    return;
  }
  if (m_stream->unsent() != 0) {
    m_stream->Abort();
  } else {
    m_stream->Close();
  }
  if (!m_closed) {
    Close();
  }
  m_entry.reset();
}

// Whether there is room for the request that has just been received.
bool CallerConnection::FindRoom() {
  const auto entry = m_entry;
  return !entry || (entry->Admits() &&
                    (!m_hooks->requests_wait || entry->FindConnections()));
}

// @return whether a request was answered and another one may follow
bool CallerConnection::ParseRequest() {
  if (HasUnreadResponses()) {
    m_stream->PauseReading();
    return false;
  }
  const bool had_begun = m_reader->begun();
  const core::Result<size_t> used = m_reader->Feed(m_unread);
  if (!core::IsOk(used)) {
    Reject(core::Failure(used));
    return false;
  }
  m_unread.erase(0, core::Value(used));
  if (m_unread.empty()) {
    core::Release(m_unread);
  }
  if (m_reader->done()) {
    m_timer.cancel();
    m_busy = true;
    CallerRequest request{m_reader->TakeHead(), m_reader->TakeBody(),
                          net::BootNow()};
    m_keep_alive = request.head.keep_alive;
    m_head_request = request.head.method == "HEAD";
    m_request_bytes =
        request.head.headers.held_bytes() + kCopiesOfBody * request.body.size();
    UpdateEntry();
    if (!FindRoom()) {
      Reject({core::ErrorId::kMemoryLimit, "router",
              "requests in progress hold what callers may hold"});
      return false;
    }
    m_hooks->on_request(shared_from_this(), std::move(request));
    return !m_busy && !m_closed && !m_unread.empty();
  }
  if (!had_begun && m_reader->begun()) {
    ArmTimer(m_hooks->bounds().header_time);
  }
  if (m_reader->head_done() && m_reader->head().expects_continue &&
      !m_continue_sent) {
    m_continue_sent = true;
    m_stream->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  UpdateEntry();
  return false;
}

void CallerConnection::Reject(const core::Error& error) {
  m_hooks->on_bad_request(error);
  m_busy = true;
  m_keep_alive = false;
  m_head_request = false;
  const int status = core::Describe(error.id).http_status;
  http1::HeaderList headers;
  if (error.id == core::ErrorId::kMemoryLimit) {
    headers.Add("Retry-After", kRetryAfterMemory);
  }
  Respond({status, std::string(ReasonOf(status)), headers,
           core::ErrorCode(error.id) + "\n"});
}

void CallerConnection::Respond(const LocalResponse& response) {
  BeginResponse(response.status, response.reason, response.headers,
                response.body.size());
  SendBody(response.body);
  EndResponse();
}

void CallerConnection::BeginResponse(int status,
                                     const std::string& reason,
                                     const http1::HeaderList& headers,
                                     std::optional<uint64_t> length) {
  if (m_closed) {
    return;
  }
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const http1::Header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  m_chunked = false;
  if (length) {
    text += "Content-Length: " + std::to_string(*length) + "\r\n";
  } else if (!HasNoBody(status)) {
    m_chunked = !m_head_request;
    text += "Transfer-Encoding: chunked\r\n";
  }
  m_keep_alive = m_keep_alive && !m_hooks->leaving();
  if (!m_keep_alive) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  m_head_text = std::move(text);
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (m_closed) {
    return;
  }
  // Sends the head together with the first body bytes, to save a packet and a
  // system call.
  std::string text = std::exchange(m_head_text, {});
  if (!bytes.empty() && !m_head_request) {
    if (m_chunked) {
      text += Chunk(bytes);
    } else {
      text += bytes;
    }
  }
  if (!text.empty()) {
    m_stream->Send(text);
  }
  if (m_stream->unsent() != 0) {
    UpdateEntry();
  }
}

void CallerConnection::SetBuffered(size_t bytes) {
  if (m_closed || bytes == m_buffered) {
    return;
  }
  m_buffered = bytes;
  UpdateEntry();
}

void CallerConnection::EndResponse() {
  if (m_closed) {
    return;
  }
  std::string text = std::exchange(m_head_text, {});
  if (m_chunked) {
    text += kLastChunk;
  }
  if (!text.empty()) {
    m_stream->Send(text);
  }
  if (!m_keep_alive) {
    m_busy = false;
    m_stream->CloseWhenSent();
    Close();
    return;
  }
  m_stream->ResumeReading();
  NextRequest();
}

void CallerConnection::Abort() {
  if (m_closed) {
    return;
  }
  m_stream->Abort();
  m_busy = false;
  Close();
}

// The missing length or last chunk shows that the response is incomplete, and
// unlike after a reset, the caller gets what it has not read yet.
void CallerConnection::Cut() {
  if (m_closed) {
    return;
  }
  m_stream->CloseWhenSent();
  m_busy = false;
  Close();
}

bool CallerConnection::busy() const {
  if (m_closed) {
    return m_stream->open() && m_stream->unsent() != 0;
  }
  return m_busy || !m_unread.empty() || m_stream->unsent() != 0;
}

void CallerConnection::CloseIfIdle() {
  if (m_closed || busy() || m_reader->begun()) {
    return;
  }
  m_stream->CloseWhenSent();
  Close();
}

void CallerConnection::EndRequest(DrainEnd step) {
  if (const auto handler = m_on_drain_end) {
    handler(step);
  }
}

void CallerConnection::OnEnd() {
  if (m_closed) {
    return;
  }
  m_stream->Abort();
  const auto on_disconnect = std::exchange(m_on_disconnect, nullptr);
  m_busy = false;
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

void CallerConnection::ArmTimer(core::Duration time) {
  m_timer.expires_after(time);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self) {
          self->OnTimer();
        }
      });
}

void CallerConnection::OnTimer() {
  if (m_closed || m_busy) {
    return;
  }
  if (m_reader->begun()) {
    Reject({core::ErrorId::kSlowSender, "request",
            "request was not received in time"});
    return;
  }
  if (HasUnreadResponses()) {
    Abort();
    return;
  }
  CloseIfIdle();
}

void CallerConnection::Close() {
  m_closed = true;
  core::Release(m_unread);
  m_reader.reset();
  if (m_stream->open()) {
    UpdateEntry();
  } else {
    m_entry.reset();
  }
  m_timer.cancel();
  m_on_disconnect = nullptr;
  m_on_drained = nullptr;
  m_on_drain_end = nullptr;
  m_hooks->on_closed();
}

}  // namespace coppervalve::gateway
