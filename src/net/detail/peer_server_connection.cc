#include "peer_server_connection.h"

#include <boost/asio/post.hpp>
#include <chrono>   // system_clock
#include <utility>  // exchange, move

#include "coppervalve/core/hash.h"
#include "coppervalve/core/memory.h"
#include "coppervalve/core/result.h"
#include "peer_fields.h"
#include "peer_forward_reply.h"

namespace coppervalve::net::detail {
namespace {

constexpr std::string_view kStatusDelivered = "204";
constexpr std::string_view kStatusBadRequest = "400";
constexpr std::string_view kStatusUnauthorized = "401";
constexpr std::string_view kStatusTooLarge = "413";
constexpr size_t kMaxUnauthenticated = 64;

UnixSeconds WallClock() {
  return std::chrono::duration_cast<UnixSeconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

core::Error BadRequest(std::string detail) {
  return core::Error{core::ErrorId::kBadRequest, "peer stream",
                     std::move(detail)};
}

std::string_view RefusalStatus(core::ErrorId id) {
  switch (id) {
    case core::ErrorId::kBodyTooLarge:
      return kStatusTooLarge;
    case core::ErrorId::kPeerProtocol:
      return kStatusUnauthorized;
    default:
      return kStatusBadRequest;
  }
}

}  // namespace

PeerServerConnection::PeerServerConnection(
    std::shared_ptr<PeerServerShared> shared,
    boost::asio::any_io_executor strand)
    : m_shared(std::move(shared)),
      m_strand(std::move(strand)),
      m_drain_timer(m_strand) {}

void PeerServerConnection::Start(boost::asio::ip::tcp::socket socket,
                                 OnClosed on_closed) {
  m_on_closed = std::move(on_closed);
  boost::asio::post(m_strand, [self = shared_from_this(),
                               socket = std::move(socket)]() mutable {
    self->OnStart(std::move(socket));
  });
}

void PeerServerConnection::OnStart(boost::asio::ip::tcp::socket socket) {
  m_connection = std::make_shared<PeerConnection>(
      std::move(socket), PeerRole::kServer, m_shared->settings,
      MakeSessionHooks(), [self = shared_from_this()](const core::Error&) {
        self->OnConnectionClosed();
      });
  m_connection->Start();
}

// The session calls these only while the connection is open, and the connection
// keeps this object alive until on_closed.
SessionHooks PeerServerConnection::MakeSessionHooks() {
  SessionHooks hooks;
  hooks.on_opened = [this](StreamId id) { m_streams.try_emplace(id); };
  hooks.on_header = [this](StreamId id, std::string_view name,
                           std::string_view value) {
    return OnHeader(id, name, value);
  };
  hooks.on_headers = [this](StreamId id) { OnHeaders(id); };
  hooks.on_data = [this](StreamId id, std::string_view bytes) {
    OnData(id, bytes);
  };
  hooks.on_end = [this](StreamId id) { OnEnd(id); };
  hooks.on_closed = [this](StreamId id, uint32_t) { OnStreamClosed(id); };
  hooks.on_request_starts = [](StreamId) {};
  hooks.on_request_not_sent = [](StreamId) {};
  hooks.read_body = [this](StreamId id, std::span<char> frame) {
    Stream* stream = LookupDelivered(id);
    return stream == nullptr ? BodyPart{0, BodyPart::State::kBroken}
                             : stream->reply.Take(frame);
  };
  hooks.on_settings = [] {};
  hooks.on_goaway = [] {};
  return hooks;
}

PeerServerConnection::Stream* PeerServerConnection::Lookup(StreamId id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : &found->second;
}

PeerServerConnection::Stream* PeerServerConnection::LookupDelivered(
    StreamId id) {
  Stream* stream = Lookup(id);
  const bool delivered =
      stream != nullptr && stream->state == State::kDelivered;
  return delivered ? stream : nullptr;
}

bool PeerServerConnection::OnHeader(StreamId id,
                                    std::string_view name,
                                    std::string_view value) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->state != State::kHeaders) {
    return true;
  }
  stream->field_bytes += FieldBytes(name, value);
  if (stream->field_bytes > m_shared->settings.max_header_bytes) {
    return false;
  }
  stream->fields.emplace_back(name, value);
  return true;
}

// The proof is verified before any byte of the body is stored, so that
// unauthenticated clients cannot exhaust the memory. The body digest, which the
// proof covers, is verified at the end.
void PeerServerConnection::OnHeaders(StreamId id) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->state != State::kHeaders) {
    return;
  }
  const core::Status verified =
      m_shared->verifier.Check(Find(stream->fields, kAuthField),
                               SignedText(stream->fields), WallClock());
  if (!core::IsOk(verified)) {
    Refuse(id, *stream, core::Failure(verified));
    CountUnauthenticated();
    return;
  }
  m_authenticated = true;
  const std::string_view path = Find(stream->fields, kPathField);
  if (path != kMessagePath && path != kForwardPath) {
    Refuse(id, *stream, BadRequest("unknown path"));
    return;
  }
  stream->state = State::kBody;
}

void PeerServerConnection::OnData(StreamId id, std::string_view bytes) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->state != State::kBody) {
    return;
  }
  m_connection->session().Consume(id, bytes.size());
  const PeerSettings& settings = m_shared->settings;
  const bool message = Find(stream->fields, kPathField) == kMessagePath;
  const size_t limit =
      message ? settings.max_message_bytes : settings.max_forward_body_bytes;
  if (stream->body.size() + bytes.size() > limit) {
    Refuse(id, *stream,
           core::Error{core::ErrorId::kBodyTooLarge, "peer stream", {}});
    return;
  }
  stream->body.append(bytes);
}

void PeerServerConnection::OnEnd(StreamId id) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->state != State::kBody) {
    return;
  }
  const std::string digest = core::Sha256Hex(stream->body);
  if (Find(stream->fields, kBodyDigestField) != digest) {
    Refuse(id, *stream, BadRequest("the body is not the one that was signed"));
    return;
  }
  if (Find(stream->fields, kPathField) == kMessagePath) {
    DeliverMessage(id, *stream);
  } else {
    DeliverForward(id, *stream);
  }
}

void PeerServerConnection::DeliverMessage(StreamId id, Stream& stream) {
  v1::PeerMessage message;
  if (!message.ParseFromString(stream.body)) {
    Refuse(id, stream, BadRequest("not a peer message"));
    return;
  }
  stream.state = State::kFinished;
  core::Release(stream.body);
  if (m_shared->callbacks.on_message) {
    m_shared->callbacks.on_message(std::move(message));
  }
  HeaderList fields{{std::string(kStatusField), std::string(kStatusDelivered)}};
  m_connection->session().SubmitReply(
      id, WithReplyProof(stream.fields, std::move(fields)), false);
}

void PeerServerConnection::DeliverForward(StreamId id, Stream& stream) {
  std::optional<ForwardHead> head = DecodeForward(stream.fields);
  if (!head || !m_shared->callbacks.on_forward) {
    Refuse(id, stream, BadRequest("not a forward"));
    return;
  }
  stream.state = State::kDelivered;
  auto impl = std::make_shared<ForwardReply::Impl>();
  impl->executor = m_strand;
  impl->connection = weak_from_this();
  impl->stream = id;
  m_shared->callbacks.on_forward(
      std::move(*head), std::exchange(stream.body, {}),
      std::make_shared<ForwardReply>(std::move(impl)));
}

void PeerServerConnection::Refuse(StreamId id,
                                  Stream& stream,
                                  const core::Error& error) {
  stream.state = State::kFinished;
  core::Release(stream.body);
  const HeaderList request_fields = std::exchange(stream.fields, {});
  if (m_shared->callbacks.on_refused) {
    m_shared->callbacks.on_refused(error);
  }
  HeaderList fields{
      {std::string(kStatusField), std::string(RefusalStatus(error.id))},
      {std::string(kRefusedField), core::ErrorCode(error.id)}};
  // An unauthenticated request gets no reply proof: it would confirm a request
  // that was not made with the secret.
  if (error.id != core::ErrorId::kPeerProtocol) {
    fields = WithReplyProof(request_fields, std::move(fields));
  }
  // The stream is not reset: nghttp2 would drop the queued answer. The rest of
  // the body is limited by the stream's window, which is not extended.
  m_connection->session().SubmitReply(id, fields, false);
}

// Refused streams stay open until the client ends them, so their number is
// bounded. A router is refused only if its secret or its clock is wrong.
void PeerServerConnection::CountUnauthenticated() {
  if (++m_unauthenticated > kMaxUnauthenticated) {
    Abort();
  }
}

void PeerServerConnection::OnStreamClosed(StreamId id) {
  auto node = m_streams.extract(id);
  if (!node.empty() && node.mapped().on_cancelled) {
    node.mapped().on_cancelled();
  }
}

void PeerServerConnection::OnConnectionClosed() {
  m_drain_timer.cancel();
  const auto streams = std::exchange(m_streams, {});
  for (const auto& [id, stream] : streams) {
    if (stream.on_cancelled) {
      stream.on_cancelled();
    }
  }
  if (const OnClosed on_closed = std::exchange(m_on_closed, nullptr)) {
    on_closed();
  }
}

void PeerServerConnection::Drain() {
  boost::asio::post(m_strand,
                    [self = shared_from_this()] { self->StartDrain(); });
}

void PeerServerConnection::Abort() {
  boost::asio::post(m_strand, [self = shared_from_this()] {
    self->m_connection->Close(
        core::Error{core::ErrorId::kPeerUnreachable, "connection", "closed"});
  });
}

// A GOAWAY that states the last stream immediately would refuse streams in
// transit. So a GOAWAY with the maximum stream id is sent first: the client
// opens no new streams, and those in transit are still answered. The final
// GOAWAY follows after a delay much longer than a round trip.
void PeerServerConnection::StartDrain() {
  if (m_draining || !m_connection->open()) {
    return;
  }
  m_draining = true;
  m_connection->session().SubmitShutdownNotice();
  m_connection->Flush();
  m_drain_timer.expires_after(m_shared->settings.goaway_grace);
  m_drain_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->FinishDrain();
        }
      });
}

void PeerServerConnection::FinishDrain() {
  if (!m_connection->open()) {
    return;
  }
  m_connection->session().SubmitGoaway();
  m_connection->Flush();
}

}  // namespace coppervalve::net::detail
