#include <functional>  // function
#include <string>      // string
#include <utility>     // exchange, move

#include "coppervalve/core/error.h"
#include "coppervalve/core/result.h"
#include "peer_fields.h"
#include "peer_server_connection.h"

// Writing of the answers to forwards.
namespace coppervalve::net::detail {
namespace {

core::Error BadReply(std::string detail) {
  return core::Error{core::ErrorId::kBadRequest, "peer reply",
                     std::move(detail)};
}

}  // namespace

PeerServerConnection::Stream* PeerServerConnection::LookupWritable(
    StreamId id) {
  Stream* stream = LookupDelivered(id);
  return stream != nullptr && !stream->reply.ended() ? stream : nullptr;
}

HeaderList PeerServerConnection::WithReplyProof(
    const HeaderList& request_fields,
    HeaderList fields) const {
  fields.emplace_back(kReplyProofField, m_shared->signer.ReplyProof(
                                            Find(request_fields, kAuthField)));
  return fields;
}

void PeerServerConnection::ReplyHeadOf(StreamId id, const ReplyHead& head) {
  Stream* stream = LookupWritable(id);
  if (stream == nullptr || stream->head_sent) {
    return;
  }
  const HeaderList fields = WithReplyProof(stream->fields, EncodeReply(head));
  const core::Status fits =
      CheckFields(fields, m_shared->settings.max_header_bytes);
  if (!core::IsOk(fits)) {
    FailReply(id, core::Failure(fits));
    return;
  }
  if (!DecodeReply(fields)) {
    FailReply(id, BadReply("status is not a final one"));
    return;
  }
  stream->head_sent = true;
  m_connection->session().SubmitReply(id, fields, true);
  m_connection->Flush();
}

void PeerServerConnection::ReplyBodyOf(StreamId id,
                                       std::string bytes,
                                       std::function<void()> on_writable) {
  Stream* stream = LookupWritable(id);
  if (stream == nullptr) {
    return;
  }
  if (!stream->head_sent) {
    FailReply(id, BadReply("body before head"));
    return;
  }
  const size_t size = stream->reply.size() + bytes.size();
  if (size > m_shared->settings.max_reply_buffer_bytes) {
    FailReply(id, BadReply("buffer full"));
    return;
  }
  stream->reply.Push(std::move(bytes), std::move(on_writable));
  m_connection->session().Resume(id);
  m_connection->Flush();
}

void PeerServerConnection::EndReply(StreamId id) {
  Stream* stream = LookupWritable(id);
  if (stream == nullptr) {
    return;
  }
  if (!stream->head_sent) {
    FailReply(id, BadReply("end before head"));
    return;
  }
  stream->on_cancelled = nullptr;
  stream->reply.End();
  m_connection->session().Resume(id);
  m_connection->Flush();
}

// An incomplete answer that ended normally would look complete to the other
// router and its caller; a reset does not.
void PeerServerConnection::AbortReply(StreamId id, const core::Error& error) {
  Stream* stream = LookupWritable(id);
  if (stream == nullptr) {
    return;
  }
  if (m_shared->callbacks.on_refused) {
    m_shared->callbacks.on_refused(error);
  }
  stream->state = State::kFinished;
  stream->on_cancelled = nullptr;
  m_connection->session().Reset(id, NGHTTP2_INTERNAL_ERROR);
  m_connection->Flush();
}

void PeerServerConnection::DropReply(StreamId id) {
  AbortReply(id, core::Error{core::ErrorId::kAnswerCut, "peer stream",
                             "the writer of the answer is gone"});
}

void PeerServerConnection::FailReply(StreamId id, const core::Error& error) {
  Stream* stream = LookupWritable(id);
  if (stream == nullptr) {
    return;
  }
  const auto on_cancelled = std::exchange(stream->on_cancelled, nullptr);
  AbortReply(id, error);
  if (on_cancelled) {
    on_cancelled();
  }
}

void PeerServerConnection::SetCancelled(StreamId id,
                                        std::function<void()> callback) {
  if (!callback) {
    return;
  }
  Stream* stream = LookupDelivered(id);
  if (stream == nullptr) {
    callback();
    return;
  }
  if (!stream->reply.ended()) {
    stream->on_cancelled = std::move(callback);
  }
}

}  // namespace coppervalve::net::detail
