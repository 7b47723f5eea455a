#include "caller_session.h"

#include <array>  // array
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>  // exchange, move

#include "socket_util.h"

namespace coppervalve::net {

namespace {

namespace asio = boost::asio;

constexpr size_t kPieceBytes = size_t{64} * 1024;
// Time that a refused sender may continue sending before the connection is
// reset.
constexpr std::chrono::milliseconds kLingerTimeout{2000};
constexpr std::chrono::seconds kRetryAfterMemory{1};
// A request is held by its worker, and once more while it is sent.
constexpr size_t kCopiesOfBody = 2;

size_t HeldBytes(const HttpRequest& request) {
  size_t bytes = kCopiesOfBody * request.body.size() +
                 request.headers.size() * sizeof(HeaderList::value_type);
  for (const auto& [name, value] : request.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

// Shared by all connections of a thread: nothing reads what is discarded.
std::array<char, kPieceBytes>& Sink() {
  thread_local std::array<char, kPieceBytes> sink;
  return sink;
}

}  // namespace

CallerSession::CallerSession(asio::io_context& context,
                             size_t thread,
                             asio::ip::tcp::socket socket,
                             std::shared_ptr<const CallerHooks> hooks,
                             const CallerLimits& limits,
                             std::function<void()> on_closed)
    : m_context(context),
      m_thread(thread),
      m_socket(std::move(socket)),
      m_hooks(std::move(hooks)),
      m_limits(limits),
      m_on_closed(std::move(on_closed)),
      m_deadline(context),
      m_reader(context, m_socket, limits) {
  ConfigureSocket(m_socket);
}

CallerSession::~CallerSession() = default;

void CallerSession::SetEntry(std::shared_ptr<ConnectionRegistry::Entry> entry) {
  m_entry = std::move(entry);
}

bool CallerSession::HasInput() const {
  ErrorCode code;
  return m_socket.available(code) != 0;
}

void CallerSession::Record(core::ConnectionStage stage, size_t bytes) {
  // The update may end this connection, which drops the entry.
  if (const auto entry = m_entry) {
    entry->Update(stage, bytes);
  }
}

void CallerSession::Run() {
  if (m_closing) {
    Close();
    return;
  }
  Record(core::ConnectionStage::kIdle, 0);
  m_reader.SetProgressHandler([weak = weak_from_this()](size_t held) {
    if (const auto self = weak.lock()) {
      self->Record(core::ConnectionStage::kReceiving, held);
    }
  });
  m_reader.Read(
      [weak = weak_from_this()](core::Result<HttpRequest> request) {
        if (const auto self = weak.lock()) {
          self->OnRequest(std::move(request));
        }
      },
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Close();
        }
      });
}

void CallerSession::CloseWhenIdle() {
  m_closing = true;
  if (!m_busy && !m_reader.begun()) {
    Close();
  }
}

void CallerSession::EndForLimit(core::ConnectionLimit limit) {
  const bool receiving = !m_busy && !m_closing && m_reader.begun();
  m_closing = true;
  if (!receiving || limit == core::ConnectionLimit::kConnections) {
    Close();
    return;
  }
  m_reader.Stop();
  ErrorCode ignored;
  m_socket.cancel(ignored);
  Record(core::ConnectionStage::kClosing, 0);
  Reject({core::ErrorId::kMemoryLimit, "router",
          "its callers' requests exceed a limit"});
}

void CallerSession::OnRequest(core::Result<HttpRequest> result) {
  if (!core::IsOk(result)) {
    Reject(core::Failure(result));
    return;
  }
  HttpRequest request = core::TakeValue(std::move(result));
  m_busy = true;
  Record(core::ConnectionStage::kBusy, HeldBytes(request));
  if (m_entry && (!m_entry->Admits() || !m_entry->FindConnections())) {
    Reject({core::ErrorId::kMemoryLimit, "router",
            "requests in progress hold what callers may hold"});
    return;
  }
  m_head_sent = false;
  m_ends_exchange = false;
  m_truncated = false;
  m_body.clear();
  m_http_1_0 = request.http_1_0;
  m_options.omit_body = request.method == "HEAD";
  m_options.close = !m_reader.keep_alive() || m_closing || m_hooks->draining();
  Exchange exchange = m_hooks->accept(m_thread, std::move(request));
  m_request = exchange.request;
  m_answer = std::make_unique<AnswerReader>(
      std::move(exchange.answer), [weak = weak_from_this(), this] {
        // May be called on any thread; reading is allowed only on this one's.
        asio::post(m_context, [weak] {
          if (const auto self = weak.lock()) {
            self->Wake();
          }
        });
      });
  WatchForClose();
  SendAvailable();
}

void CallerSession::Reject(const core::Error& error) {
  m_hooks->rejected(error);
  Refusal refusal = RefusalOf(error);
  if (error.id == core::ErrorId::kMemoryLimit) {
    refusal.retry_after = kRetryAfterMemory;
  }
  m_busy = true;
  m_options = {.close = true, .omit_body = false};
  m_answer = nullptr;
  Record(core::ConnectionStage::kClosing, 0);
  WriteResponse(RefusalHead(refusal), RefusalJson(refusal));
}

// ---- Request in progress --------------------------------------------------

void CallerSession::WatchForClose() {
  if (m_watching) {
    return;
  }
  m_watching = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](const ErrorCode& error) {
                        self->m_watching = false;
                        if (!error) {
                          self->OnReadable();
                        }
                      });
}

void CallerSession::OnReadable() {
  // Received bytes are the next, pipelined request. It is read after this one
  // is answered; until then only a failed write shows that the caller has
  // disconnected.
  if (m_busy && m_answer && IsClosedByPeer(m_socket)) {
    HandleDisconnect();
  }
}

void CallerSession::Wake() {
  if (m_busy && m_answer && !m_writing) {
    SendAvailable();
  }
}

void CallerSession::SendAvailable() {
  while (m_busy && m_answer && !m_writing) {
    const Answer::Piece piece = m_answer->Next(kPieceBytes);
    if (!m_head_sent && !SendHead(piece)) {
      const bool more = !piece.bytes.empty();
      if (more) {
        continue;
      }
      return;
    }
    if (m_writing) {
      return;
    }
    SendStream(piece);
    if (!m_writing) {
      return;
    }
  }
}

// @return whether `piece` must be relayed as part of a stream
bool CallerSession::SendHead(const Answer::Piece& piece) {
  if (piece.head) {
    m_head = *piece.head;
  }
  if (piece.state == Answer::State::kFailed) {
    m_options.close = m_options.close || m_hooks->draining();
    WriteResponse(RefusalHead(*piece.refusal), RefusalJson(*piece.refusal));
    return false;
  }
  if (!piece.started) {
    return false;
  }
  if (piece.stream && !m_http_1_0) {
    return true;
  }
  // An answer that is not streamed is relayed only when complete: a part could
  // be taken for the complete answer.
  m_body += piece.bytes;
  if (piece.state == Answer::State::kComplete) {
    WriteResponse(m_head, m_body);
  }
  return false;
}

void CallerSession::SendStream(const Answer::Piece& piece) {
  std::string out;
  if (!m_head_sent) {
    m_head_sent = true;
    out += SerializeStreamHead(m_head, m_options);
  }
  if (!piece.bytes.empty()) {
    out += SerializeChunk(piece.bytes);
  }
  if (piece.state == Answer::State::kComplete) {
    out += SerializeLastChunk();
    m_ends_exchange = true;
  }
  if (piece.state == Answer::State::kFailed) {
    // The caller already has a part. Only a missing end shows that the answer
    // is incomplete, so no last chunk follows the error event.
    out += SerializeChunk(RefusalEvent(*piece.refusal));
    m_ends_exchange = true;
    m_truncated = true;
  }
  if (!out.empty()) {
    Write(std::move(out));
  }
}

void CallerSession::WriteResponse(const HttpHead& head,
                                  const std::string& body) {
  m_ends_exchange = true;
  Write(SerializeResponse(head, body, m_options));
}

void CallerSession::Write(std::string bytes) {
  m_writing = true;
  m_out = std::move(bytes);
  m_deadline.Arm(m_limits.write_timeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      ErrorCode ignored;
      self->m_socket.close(ignored);
    }
  });
  asio::async_write(
      m_socket, asio::buffer(m_out),
      [self = shared_from_this()](const ErrorCode& error, size_t) {
        self->OnWritten(error);
      });
}

void CallerSession::OnWritten(const ErrorCode& error) {
  m_writing = false;
  m_deadline.Disarm();
  if (!m_busy) {
    return;
  }
  if (error) {
    HandleDisconnect();
    return;
  }
  if (m_ends_exchange) {
    EndExchange();
    return;
  }
  SendAvailable();
}

void CallerSession::EndExchange() {
  m_busy = false;
  const bool had_request = m_answer != nullptr;
  m_answer = nullptr;
  if (had_request) {
    m_hooks->answered(m_thread, m_request);
  }
  if (m_options.close || m_truncated || m_closing) {
    CloseGracefully();
    return;
  }
  Run();
}

void CallerSession::HandleDisconnect() {
  m_busy = false;
  const bool had_request = m_answer != nullptr;
  m_answer = nullptr;
  if (had_request) {
    m_hooks->disconnected(m_thread, m_request);
  }
  Close();
}

// ---- Closing --------------------------------------------------------------

void CallerSession::CloseGracefully() {
  // Closing while the caller still sends makes the kernel reset the connection,
  // and the caller may lose the answer with the reason. So its input is
  // discarded until it closes too or kLingerTimeout has passed.
  Record(core::ConnectionStage::kClosing, 0);
  ErrorCode ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_deadline.Arm(kLingerTimeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Close();
    }
  });
  DiscardInput();
}

void CallerSession::DiscardInput() {
  m_socket.async_read_some(
      asio::buffer(Sink()),
      [self = shared_from_this()](const ErrorCode& error, size_t) {
        if (error) {
          self->Close();
          return;
        }
        self->DiscardInput();
      });
}

void CallerSession::Close() {
  m_deadline.Disarm();
  m_reader.Stop();
  ErrorCode ignored;
  m_socket.close(ignored);
  m_entry.reset();
  if (const auto closed = std::exchange(m_on_closed, nullptr)) {
    // Posted, because the owner destroys this session, which is still in use.
    asio::post(m_context, closed);
  }
}

}  // namespace coppervalve::net
