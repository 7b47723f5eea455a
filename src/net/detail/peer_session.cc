#include "peer_session.h"

#include <array>     // array
#include <iterator>  // size
#include <utility>   // move
#include <vector>    // vector

#include "coppervalve/core/error.h"

namespace coppervalve::net::detail {
namespace {

// Limits the bytes buffered per stream for a stalled reader; with a round trip
// of one millisecond it still allows 64 MB/s.
constexpr int32_t kStreamWindow = 64 << 10;
// The connection's window is extended as soon as bytes arrive, so that a
// stalled reader never blocks the other streams.
constexpr int32_t kConnectionWindow = 1 << 20;

core::Error SessionError(int code) {
  return core::Error{core::ErrorId::kPeerProtocol, "http2",
                     nghttp2_strerror(code)};
}

std::string_view View(const uint8_t* bytes, size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

// nghttp2 copies names and values while they are submitted.
std::vector<nghttp2_nv> ToNameValues(const HeaderList& fields) {
  std::vector<nghttp2_nv> result;
  result.reserve(fields.size());
  for (const auto& [name, value] : fields) {
    nghttp2_nv pair{};
    pair.name =
        reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));  // NOLINT
    pair.value =
        reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));  // NOLINT
    pair.namelen = name.size();
    pair.valuelen = value.size();
    pair.flags = NGHTTP2_NV_FLAG_NONE;
    result.push_back(pair);
  }
  return result;
}

}  // namespace

struct SessionCallbacks {
  static PeerSession& Self(void* user_data) {
    return *static_cast<PeerSession*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame,
                            void* user_data) {
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Self(user_data).m_hooks.on_opened(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t /*flags*/,
                      void* user_data) {
    const bool taken = Self(user_data).m_hooks.on_header(
        frame->hd.stream_id, View(name, name_size), View(value, value_size));
    return taken ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }

  // By default nghttp2 drops a malformed field and continues; a request without
  // that field must not be accepted as the one that was sent.
  static int OnInvalidHeader(nghttp2_session* /*session*/,
                             const nghttp2_frame* /*frame*/,
                             const uint8_t* /*name*/,
                             size_t /*name_size*/,
                             const uint8_t* /*value*/,
                             size_t /*value_size*/,
                             uint8_t /*flags*/,
                             void* /*user_data*/) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }

  static int OnData(nghttp2_session* session,
                    uint8_t /*flags*/,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* user_data) {
    nghttp2_session_consume_connection(session, size);
    Self(user_data).m_hooks.on_data(stream, View(data, size));
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/,
                     const nghttp2_frame* frame,
                     void* user_data) {
    const SessionHooks& hooks = Self(user_data).m_hooks;
    const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS:
        hooks.on_headers(frame->hd.stream_id);
        [[fallthrough]];
      case NGHTTP2_DATA:
        if (last) {
          hooks.on_end(frame->hd.stream_id);
        }
        break;
      case NGHTTP2_SETTINGS:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
          hooks.on_settings();
        }
        break;
      case NGHTTP2_GOAWAY:
        hooks.on_goaway();
        break;
      default:
        break;
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/,
                           int32_t stream,
                           uint32_t error_code,
                           void* user_data) {
    Self(user_data).m_hooks.on_closed(stream, error_code);
    return 0;
  }

  // nghttp2 reports a frame as sent only when the next bytes are requested;
  // a request must count as started before its first byte can leave.
  static int BeforeFrameSend(nghttp2_session* /*session*/,
                             const nghttp2_frame* frame,
                             void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Self(user_data).m_hooks.on_request_starts(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnFrameNotSent(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame,
                            int /*error*/,
                            void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Self(user_data).m_hooks.on_request_not_sent(frame->hd.stream_id);
    }
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/,
                          int32_t stream,
                          uint8_t* buffer,
                          size_t size,
                          uint32_t* flags,
                          nghttp2_data_source* /*source*/,
                          void* user_data) {
    const BodyPart part = Self(user_data).m_hooks.read_body(
        stream, std::span(reinterpret_cast<char*>(buffer), size));
    if (part.state == BodyPart::State::kBroken) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (part.state == BodyPart::State::kWait) {
      return NGHTTP2_ERR_DEFERRED;
    }
    if (part.state == BodyPart::State::kEnd) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(part.bytes);
  }

  static nghttp2_session_callbacks* Make() {
    nghttp2_session_callbacks* calls = nullptr;
    if (nghttp2_session_callbacks_new(&calls) != 0) {
      return nullptr;
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(calls,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(calls, OnHeader);
    nghttp2_session_callbacks_set_on_invalid_header_callback(calls,
                                                             OnInvalidHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls, OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(calls,
                                                           OnStreamClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(calls,
                                                             BeforeFrameSend);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(calls,
                                                             OnFrameNotSent);
    return calls;
  }
};

namespace {

nghttp2_session* MakeSession(PeerRole role, PeerSession* self) {
  nghttp2_session_callbacks* callbacks = SessionCallbacks::Make();
  nghttp2_option* option = nullptr;
  nghttp2_session* session = nullptr;
  if (callbacks != nullptr && nghttp2_option_new(&option) == 0) {
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (role == PeerRole::kClient) {
      nghttp2_session_client_new2(&session, callbacks, self, option);
    } else {
      nghttp2_session_server_new2(&session, callbacks, self, option);
    }
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return session;
}

void SubmitFirstFrames(nghttp2_session* session, const PeerSettings& settings) {
  const std::array<nghttp2_settings_entry, 4> entries{{
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<uint32_t>(settings.max_header_bytes)},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
       static_cast<uint32_t>(settings.max_forwards +
                             settings.max_queued_messages)},
  }};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
}

nghttp2_data_provider BodyProvider() {
  nghttp2_data_provider provider{};
  provider.read_callback = SessionCallbacks::ReadBody;
  return provider;
}

}  // namespace

PeerSession::PeerSession(PeerRole role,
                         const PeerSettings& settings,
                         SessionHooks hooks)
    : m_hooks(std::move(hooks)), m_session(MakeSession(role, this)) {
  if (m_session) {
    SubmitFirstFrames(m_session.get(), settings);
  }
}

PeerSession::~PeerSession() = default;

core::Status PeerSession::Receive(std::string_view bytes) {
  if (!m_session) {
    return SessionError(NGHTTP2_ERR_NOMEM);
  }
  const ssize_t taken = nghttp2_session_mem_recv(
      m_session.get(), reinterpret_cast<const uint8_t*>(bytes.data()),
      bytes.size());
  if (taken < 0) {
    return SessionError(static_cast<int>(taken));
  }
  return core::Ok();
}

core::Status PeerSession::Fill(std::string& out, size_t target) {
  if (!m_session) {
    return SessionError(NGHTTP2_ERR_NOMEM);
  }
  while (out.size() < target) {
    const uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(m_session.get(), &bytes);
    if (size < 0) {
      return SessionError(static_cast<int>(size));
    }
    if (size == 0) {
      break;
    }
    out.append(View(bytes, static_cast<size_t>(size)));
  }
  return core::Ok();
}

core::Result<StreamId> PeerSession::SubmitRequest(const HeaderList& fields) {
  const std::vector<nghttp2_nv> pairs = ToNameValues(fields);
  const nghttp2_data_provider provider = BodyProvider();
  const int32_t stream = nghttp2_submit_request(
      m_session.get(), nullptr, pairs.data(), pairs.size(), &provider, nullptr);
  if (stream < 0) {
    return SessionError(stream);
  }
  return stream;
}

core::Status PeerSession::SubmitReply(StreamId stream,
                                      const HeaderList& fields,
                                      bool has_body) {
  const std::vector<nghttp2_nv> pairs = ToNameValues(fields);
  const nghttp2_data_provider provider = BodyProvider();
  const int code =
      nghttp2_submit_response(m_session.get(), stream, pairs.data(),
                              pairs.size(), has_body ? &provider : nullptr);
  if (code != 0) {
    return SessionError(code);
  }
  return core::Ok();
}

void PeerSession::Reset(StreamId stream, uint32_t error_code) {
  nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream,
                            error_code);
}

void PeerSession::Resume(StreamId stream) {
  nghttp2_session_resume_data(m_session.get(), stream);
}

void PeerSession::Consume(StreamId stream, size_t bytes) {
  nghttp2_session_consume_stream(m_session.get(), stream, bytes);
}

void PeerSession::Ping() {
  nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
}

void PeerSession::SubmitShutdownNotice() {
  nghttp2_submit_shutdown_notice(m_session.get());
}

void PeerSession::SubmitGoaway() {
  nghttp2_submit_goaway(
      m_session.get(), NGHTTP2_FLAG_NONE,
      nghttp2_session_get_last_proc_stream_id(m_session.get()),
      NGHTTP2_NO_ERROR, nullptr, 0);
}

bool PeerSession::Done() const {
  return nghttp2_session_want_read(m_session.get()) == 0 &&
         nghttp2_session_want_write(m_session.get()) == 0;
}

}  // namespace coppervalve::net::detail
