#ifndef COPPERVALVE_NET_DETAIL_PEER_SESSION_H_
#define COPPERVALVE_NET_DETAIL_PEER_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <cstddef>      // size_t
#include <cstdint>      // int32_t, uint32_t
#include <functional>   // function
#include <memory>       // unique_ptr
#include <span>         // span
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/net/peer_types.h"

namespace coppervalve::net::detail {

using StreamId = int32_t;

enum class PeerRole : uint8_t { kClient, kServer };

/// @brief Result of a body source for one DATA frame.
struct BodyPart {
  enum class State : uint8_t {
    kMore,    ///< more may follow
    kEnd,     ///< these are the last bytes
    kWait,    ///< no data yet; call Resume() when there is
    kBroken,  ///< the stream must be reset
  };
  size_t bytes = 0;
  State state = State::kMore;
};

/// @brief Callbacks of a session, called inside Receive() and Fill(). They may
/// call only the Submit..., Reset, Resume and Consume functions.
struct SessionHooks {
  std::function<void(StreamId)> on_opened;  ///< servers: a request begins
  /// Returns false to reset the stream.
  std::function<bool(StreamId, std::string_view, std::string_view)> on_header;
  std::function<void(StreamId)> on_headers;  ///< the header list is complete
  std::function<void(StreamId, std::string_view)> on_data;
  std::function<void(StreamId)>
      on_end;  ///< the other side completed the stream
  std::function<void(StreamId, uint32_t error_code)> on_closed;
  /// Clients: the request follows in the bytes that Fill() returns next.
  std::function<void(StreamId)> on_request_starts;
  std::function<void(StreamId)> on_request_not_sent;
  std::function<BodyPart(StreamId, std::span<char>)> read_body;
  std::function<void()> on_settings;
  std::function<void()> on_goaway;
};

/// @brief An HTTP/2 session of nghttp2 that converts between bytes and frames,
/// without a socket.
class PeerSession {
 public:
  PeerSession(PeerRole role, const PeerSettings& settings, SessionHooks hooks);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  /// @return kPeerProtocol when the connection must be closed
  core::Status Receive(std::string_view bytes);
  /// @brief Appends frames to `out` until it holds about `target` bytes.
  core::Status Fill(std::string& out, size_t target);

  core::Result<StreamId> SubmitRequest(const HeaderList& fields);
  core::Status SubmitReply(StreamId stream,
                           const HeaderList& fields,
                           bool has_body);
  void Reset(StreamId stream, uint32_t error_code);
  /// @brief Continues a stream whose body source returned kWait.
  void Resume(StreamId stream);
  /// @brief Extends the stream's window by bytes that were passed on.
  void Consume(StreamId stream, size_t bytes);
  void Ping();
  /// @brief Sends a GOAWAY with the maximum stream id: the client opens no more
  /// streams, and those in transit are still accepted.
  void SubmitShutdownNotice();
  /// @brief Refuses later streams; those in progress continue.
  void SubmitGoaway();
  /// @return whether neither side has more to send or receive
  bool Done() const;

 private:
  friend struct SessionCallbacks;

  struct Deleter {
    void operator()(nghttp2_session* session) const {
      nghttp2_session_del(session);
    }
  };

  SessionHooks m_hooks;
  std::unique_ptr<nghttp2_session, Deleter> m_session;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_SESSION_H_
