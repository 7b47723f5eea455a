#ifndef COPPERVALVE_NET_DETAIL_PEER_SERVER_CONNECTION_H_
#define COPPERVALVE_NET_DETAIL_PEER_SERVER_CONNECTION_H_

#include <atomic>  // atomic
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>        // size_t
#include <cstdint>        // uint8_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map

#include "coppervalve/core/error.h"
#include "coppervalve/net/peer_auth.h"
#include "coppervalve/net/peer_server.h"
#include "coppervalve/net/peer_types.h"
#include "peer_connection.h"
#include "peer_reply_buffer.h"

namespace coppervalve::net::detail {

/// @brief State shared by all connections of a server.
struct PeerServerShared {
  PeerServerShared(std::string secret,
                   PeerServerCallbacks server_callbacks,
                   const PeerSettings& peer_settings)
      : secret_missing(secret.empty()),
        signer(secret),
        verifier(std::move(secret)),
        callbacks(std::move(server_callbacks)),
        settings(peer_settings) {}

  const bool secret_missing;
  const PeerSigner signer;
  PeerVerifier verifier;
  const PeerServerCallbacks callbacks;
  const PeerSettings settings;
};

/// @brief One accepted connection and its streams. Runs on its strand.
class PeerServerConnection
    : public std::enable_shared_from_this<PeerServerConnection> {
 public:
  using OnClosed = std::function<void()>;

  PeerServerConnection(std::shared_ptr<PeerServerShared> shared,
                       boost::asio::any_io_executor strand);

  /// @brief Starts serving a socket of the strand. Thread-safe; call once.
  void Start(boost::asio::ip::tcp::socket socket, OnClosed on_closed);
  /// @brief Finishes the streams in progress, then closes. Thread-safe.
  void Drain();
  /// @brief Closes immediately. Thread-safe.
  void Abort();
  /// @brief Whether a request was made with the shared secret. Thread-safe.
  bool authenticated() const { return m_authenticated; }

  // Implementation of ForwardReply; called on the strand.
  void ReplyHeadOf(StreamId id, const ReplyHead& head);
  void ReplyBodyOf(StreamId id,
                   std::string bytes,
                   std::function<void()> on_writable);
  void EndReply(StreamId id);
  void AbortReply(StreamId id, const core::Error& error);
  /// @brief Handles the loss of the last reference to the reply.
  void DropReply(StreamId id);
  void SetCancelled(StreamId id, std::function<void()> callback);

 private:
  enum class State : uint8_t {
    kHeaders,    ///< the request's fields arrive
    kBody,       ///< authenticated; the body arrives
    kDelivered,  ///< a forward that is being answered
    kFinished,   ///< answered or refused; further data is ignored
  };
  struct Stream {
    State state = State::kHeaders;
    HeaderList fields;
    size_t field_bytes = 0;
    std::string body;
    bool head_sent = false;
    PeerReplyBuffer reply;
    std::function<void()> on_cancelled;
  };

  SessionHooks MakeSessionHooks();
  Stream* Lookup(StreamId id);
  Stream* LookupDelivered(StreamId id);
  /// @return the stream if its answer may still be written to
  Stream* LookupWritable(StreamId id);
  bool OnHeader(StreamId id, std::string_view name, std::string_view value);
  void OnHeaders(StreamId id);
  void OnData(StreamId id, std::string_view bytes);
  void OnEnd(StreamId id);
  void OnStreamClosed(StreamId id);
  void OnConnectionClosed();
  void DeliverMessage(StreamId id, Stream& stream);
  void DeliverForward(StreamId id, Stream& stream);
  void Refuse(StreamId id, Stream& stream, const core::Error& error);
  HeaderList WithReplyProof(const HeaderList& request_fields,
                            HeaderList fields) const;
  void CountUnauthenticated();
  void FailReply(StreamId id, const core::Error& error);
  void OnStart(boost::asio::ip::tcp::socket socket);
  void StartDrain();
  void FinishDrain();

  const std::shared_ptr<PeerServerShared> m_shared;
  const boost::asio::any_io_executor m_strand;
  boost::asio::steady_timer m_drain_timer;
  std::shared_ptr<PeerConnection> m_connection;
  OnClosed m_on_closed;
  std::unordered_map<StreamId, Stream> m_streams;
  size_t m_unauthenticated = 0;  ///< requests refused for that reason
  std::atomic<bool> m_authenticated{false};
  bool m_draining = false;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_SERVER_CONNECTION_H_
