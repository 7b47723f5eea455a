#include "peer_client_connection.h"

#include <algorithm>  // copy_n, min
#include <boost/asio/post.hpp>
#include <chrono>   // system_clock
#include <utility>  // move
#include <vector>   // vector

#include "coppervalve/core/hash.h"
#include "coppervalve/core/memory.h"
#include "coppervalve/core/result.h"
#include "peer_fields.h"

namespace coppervalve::net::detail {
namespace {

UnixSeconds WallClock() {
  return std::chrono::duration_cast<UnixSeconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

void PeerCall::End(ForwardOutcome outcome) {
  if (ended) {
    return;
  }
  ended = true;
  // A handle that outlives the call must not keep the body, or what the
  // callbacks captured, alive.
  core::Release(body);
  const ForwardCallbacks finished = std::exchange(callbacks, {});
  if (finished.on_end) {
    finished.on_end(std::move(outcome));
  }
}

PeerClientConnection::PeerClientConnection(
    std::string address,
    PeerSettings settings,
    std::shared_ptr<const PeerSigner> signer)
    : m_address(std::move(address)),
      m_settings(settings),
      m_signer(std::move(signer)) {}

void PeerClientConnection::Start(boost::asio::ip::tcp::socket socket) {
  m_connection = std::make_shared<PeerConnection>(
      std::move(socket), PeerRole::kClient, m_settings, MakeSessionHooks(),
      [self = shared_from_this()](const core::Error& error) {
        self->OnConnectionClosed(error);
      });
  m_connection->Start();
}

// The session calls these only while the connection is open, and the connection
// keeps this object alive until on_closed.
SessionHooks PeerClientConnection::MakeSessionHooks() {
  SessionHooks hooks;
  hooks.on_opened = [](StreamId) {};
  hooks.on_header = [this](StreamId id, std::string_view name,
                           std::string_view value) {
    return OnHeader(id, name, value);
  };
  hooks.on_headers = [this](StreamId id) { OnHeaders(id); };
  hooks.on_data = [this](StreamId id, std::string_view bytes) {
    OnData(id, bytes);
  };
  hooks.on_end = [this](StreamId id) {
    const Stream* stream = Lookup(id);
    if (stream != nullptr && stream->head_seen) {
      End(id, ForwardOutcome{true, true, {}});
    }
  };
  hooks.on_closed = [this](StreamId id, uint32_t code) {
    OnStreamClosed(id, code);
  };
  hooks.on_request_starts = [this](StreamId id) {
    if (Stream* stream = Lookup(id)) {
      stream->starts_at = m_connection->produced();
    }
  };
  hooks.on_request_not_sent = [this](StreamId id) {
    Fail(id, false, Failed(core::ErrorId::kPeerUnreachable, "not sent"));
  };
  hooks.read_body = [this](StreamId id, std::span<char> buffer) {
    return ReadBody(id, buffer);
  };
  hooks.on_settings = [this] {
    if (!std::exchange(m_ready, true)) {
      m_hooks.on_ready();
    }
  };
  hooks.on_goaway = [this] {
    if (!std::exchange(m_draining, true)) {
      m_hooks.on_draining();
    }
  };
  return hooks;
}

PeerClientConnection::Stream* PeerClientConnection::Lookup(StreamId id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : &found->second;
}

void PeerClientConnection::Submit(const std::shared_ptr<PeerCall>& call) {
  if (call->ended) {
    return;
  }
  HeaderList fields{{":method", "POST"},
                    {":scheme", "http"},
                    {":authority", m_address},
                    {std::string(kPathField), call->path}};
  fields.insert(fields.end(), call->fields.begin(), call->fields.end());
  fields.emplace_back(kBodyDigestField, core::Sha256Hex(call->body));
  const auto proof = m_signer->Sign(SignedText(fields), WallClock());
  if (!core::IsOk(proof)) {
    call->End(ForwardOutcome{false, false, core::Failure(proof)});
    return;
  }
  fields.emplace_back(kAuthField, core::Value(proof));
  const core::Status fits = CheckFields(fields, m_settings.max_header_bytes);
  if (!core::IsOk(fits)) {
    call->End(ForwardOutcome{false, false, core::Failure(fits)});
    return;
  }
  const auto id = m_connection->session().SubmitRequest(fields);
  if (!core::IsOk(id)) {
    // nghttp2 fails when the connection is closing or its stream ids are used
    // up.
    call->End(ForwardOutcome{
        false, false, Failed(core::ErrorId::kPeerUnreachable, "going away")});
    Drain();
    return;
  }
  Stream& stream = m_streams[core::Value(id)];
  stream.call = call;
  stream.proof = core::Value(proof);
  m_connection->Flush();
}

bool PeerClientConnection::Cancel(const PeerCall& call) {
  for (const auto& [id, stream] : m_streams) {
    if (stream.call.get() != &call) {
      continue;
    }
    Abandon(id, core::ErrorId::kOutcomeUnknown, "cancelled");
    return true;
  }
  return false;
}

void PeerClientConnection::Drain() {
  if (!std::exchange(m_draining, true)) {
    m_hooks.on_draining();
  }
  // A session that has sent GOAWAY is finished when its last stream has ended.
  m_connection->session().SubmitGoaway();
  m_connection->Flush();
}

void PeerClientConnection::Close(core::Error error) {
  if (m_connection) {
    m_connection->Close(std::move(error));
  }
}

bool PeerClientConnection::OnHeader(StreamId id,
                                    std::string_view name,
                                    std::string_view value) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->head_seen) {
    return true;
  }
  stream->field_bytes += FieldBytes(name, value);
  if (stream->field_bytes > m_settings.max_header_bytes) {
    return false;
  }
  stream->fields.emplace_back(name, value);
  return true;
}

void PeerClientConnection::OnHeaders(StreamId id) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || stream->head_seen) {
    return;
  }
  // If the peer's VM was replaced, another process may answer at its address.
  // Without this check its answer would reach a caller.
  if (!HasValidProof(*stream)) {
    Abandon(id, core::ErrorId::kPeerProtocol,
            "refused, or answered without the shared secret");
    return;
  }
  const std::string_view refusal = Find(stream->fields, kRefusedField);
  if (!refusal.empty()) {
    // The peer stops reading, so the rest of the body must be discarded.
    m_connection->session().Reset(id, NGHTTP2_CANCEL);
    Fail(id, false,
         Failed(core::ErrorId::kPeerProtocol,
                "refused: " + std::string(refusal)));
    return;
  }
  std::optional<ReplyHead> head = DecodeReply(stream->fields);
  if (!head) {
    Abandon(id, core::ErrorId::kPeerProtocol, "bad status");
    return;
  }
  stream->head_seen = true;
  stream->fields.clear();
  if (stream->call->callbacks.on_head) {
    stream->call->callbacks.on_head(std::move(*head));
  }
}

void PeerClientConnection::OnData(StreamId id, std::string_view bytes) {
  Stream* stream = Lookup(id);
  if (stream == nullptr || !stream->head_seen ||
      !stream->call->callbacks.on_body) {
    m_connection->session().Consume(id, bytes.size());
    return;
  }
  stream->call->callbacks.on_body(std::string(bytes),
                                  MakeConsumer(id, bytes.size()));
}

std::function<void()> PeerClientConnection::MakeConsumer(StreamId id,
                                                         size_t bytes) {
  return [weak = std::weak_ptr<PeerConnection>(m_connection), id, bytes] {
    const auto connection = weak.lock();
    if (!connection) {
      return;
    }
    boost::asio::post(connection->executor(), [connection, id, bytes] {
      if (!connection->open()) {
        return;
      }
      connection->session().Consume(id, bytes);
      connection->Flush();
    });
  };
}

void PeerClientConnection::OnStreamClosed(StreamId id, uint32_t error_code) {
  const Stream* stream = Lookup(id);
  if (stream == nullptr) {
    return;
  }
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    // RFC 9113, 8.7: a refused stream was not processed at all. nghttp2 also
    // gives this code to streams beyond the last one of a GOAWAY.
    Fail(id, false, Failed(core::ErrorId::kPeerUnreachable, "stream refused"));
    return;
  }
  const bool cut = stream->head_seen;
  Fail(id, Sent(*stream),
       Failed(cut ? core::ErrorId::kAnswerCut : core::ErrorId::kOutcomeUnknown,
              "the peer reset the stream"));
}

void PeerClientConnection::OnConnectionClosed(const core::Error& error) {
  std::vector<StreamId> ids;
  ids.reserve(m_streams.size());
  for (const auto& [id, stream] : m_streams) {
    ids.push_back(id);
  }
  for (const StreamId id : ids) {
    const Stream* stream = Lookup(id);
    if (stream == nullptr) {
      continue;
    }
    Fail(id, Sent(*stream),
         Failed(core::ErrorId::kPeerUnreachable, error.detail));
  }
  const Hooks hooks = std::exchange(m_hooks, {});
  if (hooks.on_closed) {
    hooks.on_closed(error);
  }
}

BodyPart PeerClientConnection::ReadBody(StreamId id, std::span<char> buffer) {
  Stream* stream = Lookup(id);
  if (stream == nullptr) {
    return {0, BodyPart::State::kBroken};
  }
  std::string& body = stream->call->body;
  const size_t bytes = std::min(buffer.size(), body.size() - stream->body_read);
  std::copy_n(body.data() + stream->body_read, bytes, buffer.data());
  stream->body_read += bytes;
  if (stream->body_read < body.size()) {
    return {bytes, BodyPart::State::kMore};
  }
  // The answer may take minutes; the request's body is not needed meanwhile.
  core::Release(body);
  stream->body_read = 0;
  return {bytes, BodyPart::State::kEnd};
}

bool PeerClientConnection::HasValidProof(const Stream& stream) const {
  return core::EqualSecrets(Find(stream.fields, kReplyProofField),
                            m_signer->ReplyProof(stream.proof));
}

bool PeerClientConnection::Sent(const Stream& stream) const {
  return stream.starts_at && m_connection->written() > *stream.starts_at;
}

core::Error PeerClientConnection::Failed(core::ErrorId id,
                                         std::string detail) const {
  return core::Error{id, m_address, std::move(detail)};
}

void PeerClientConnection::End(StreamId id, ForwardOutcome outcome) {
  const auto node = m_streams.extract(id);
  if (!node.empty()) {
    node.mapped().call->End(std::move(outcome));
  }
}

void PeerClientConnection::Fail(StreamId id, bool sent, core::Error error) {
  End(id, ForwardOutcome{false, sent, std::move(error)});
}

void PeerClientConnection::Abandon(StreamId id,
                                   core::ErrorId error,
                                   std::string detail) {
  const Stream* stream = Lookup(id);
  if (stream == nullptr) {
    return;
  }
  // The connection stays open, so buffered bytes will still be sent: a request
  // counts as sent once it is in the output buffer. A request that nghttp2
  // still queues is dropped by the reset.
  const bool sent = stream->starts_at.has_value();
  m_connection->session().Reset(id, NGHTTP2_CANCEL);
  m_connection->Flush();
  Fail(id, sent, Failed(error, std::move(detail)));
}

}  // namespace coppervalve::net::detail
