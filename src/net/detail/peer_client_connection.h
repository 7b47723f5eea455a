#ifndef COPPERVALVE_NET_DETAIL_PEER_CLIENT_CONNECTION_H_
#define COPPERVALVE_NET_DETAIL_PEER_CLIENT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <optional>       // optional
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <utility>        // move

#include "coppervalve/core/error.h"
#include "coppervalve/net/peer_auth.h"
#include "coppervalve/net/peer_types.h"
#include "peer_connection.h"

namespace coppervalve::net::detail {

/// @brief One outgoing request: a message or a forward.
struct PeerCall {
  std::string path;
  HeaderList fields;
  std::string body;
  ForwardCallbacks callbacks;
  bool ended = false;  ///< on_end was called; on the channel's strand only

  /// @brief Calls on_end unless it was called before.
  void End(ForwardOutcome outcome);
};

/// @brief One outgoing connection and its calls. Used only on the channel's
/// strand.
class PeerClientConnection
    : public std::enable_shared_from_this<PeerClientConnection> {
 public:
  struct Hooks {
    std::function<void()> on_ready;     ///< the peer's HTTP/2 SETTINGS arrived
    std::function<void()> on_draining;  ///< no new calls on this connection
    std::function<void(core::Error)>
        on_closed;  ///< after its calls have failed
  };

  PeerClientConnection(std::string address,
                       PeerSettings settings,
                       std::shared_ptr<const PeerSigner> signer);

  void SetHooks(Hooks hooks) { m_hooks = std::move(hooks); }
  void Start(boost::asio::ip::tcp::socket socket);
  void Submit(const std::shared_ptr<PeerCall>& call);
  /// @return whether the call belongs to this connection
  bool Cancel(const PeerCall& call);
  /// @brief Closes the connection when its calls have ended.
  void Drain();
  void Close(core::Error error);

 private:
  struct Stream {
    std::shared_ptr<PeerCall> call;
    std::string proof;
    HeaderList fields;  ///< of the answer
    size_t field_bytes = 0;
    size_t body_read = 0;
    bool head_seen = false;
    /// Offset of the request in the connection's output; empty until it is
    /// written there.
    std::optional<uint64_t> starts_at;
  };

  SessionHooks MakeSessionHooks();
  Stream* Lookup(StreamId id);
  bool OnHeader(StreamId id, std::string_view name, std::string_view value);
  void OnHeaders(StreamId id);
  void OnData(StreamId id, std::string_view bytes);
  void OnStreamClosed(StreamId id, uint32_t error_code);
  void OnConnectionClosed(const core::Error& error);
  BodyPart ReadBody(StreamId id, std::span<char> buffer);
  bool HasValidProof(const Stream& stream) const;
  bool Sent(const Stream& stream) const;
  core::Error Failed(core::ErrorId id, std::string detail) const;
  /// @brief Removes the stream and reports its end.
  void End(StreamId id, ForwardOutcome outcome);
  void Fail(StreamId id, bool sent, core::Error error);
  void Abandon(StreamId id, core::ErrorId error, std::string detail);
  std::function<void()> MakeConsumer(StreamId id, size_t bytes);

  const std::string m_address;
  const PeerSettings m_settings;
  const std::shared_ptr<const PeerSigner> m_signer;
  Hooks m_hooks;
  std::shared_ptr<PeerConnection> m_connection;
  std::unordered_map<StreamId, Stream> m_streams;
  bool m_ready = false;
  bool m_draining = false;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_CLIENT_CONNECTION_H_
