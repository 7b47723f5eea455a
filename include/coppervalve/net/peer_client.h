#ifndef COPPERVALVE_NET_PEER_CLIENT_H_
#define COPPERVALVE_NET_PEER_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/core/error.h"
#include "coppervalve/net/peer_types.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::net {

/// @brief Cancels one forward. Copies refer to the same forward.
class ForwardHandle {
 public:
  struct Impl;

  ForwardHandle() = default;
  explicit ForwardHandle(std::shared_ptr<Impl> impl);

  /// @brief Resets the stream; on_end follows unless it has already run.
  /// Idempotent; does nothing on an empty handle.
  void Cancel();

 private:
  std::shared_ptr<Impl> m_impl;
};

/// @brief The sending side of the links: one HTTP/2 connection per peer
/// address, opened on demand, with many streams.
///
/// Thread-safe; calls never block. Callbacks run on threads of
/// the io_context, one at a time per peer address, and never from inside the
/// call that registered them. They may run after the client is destroyed, so
/// they must own the objects that they use.
class PeerClient {
 public:
  PeerClient(boost::asio::io_context& io,
             std::string shared_secret,
             PeerSettings settings = {});
  /// Closes all connections; unfinished work fails with kPeerUnreachable.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// @brief Sends one message, once, without retries.
  /// @param address "ip:port"; "[ip]:port" for IPv6
  /// @param on_failed called at most once when the delivery is not confirmed:
  /// kPeerUnreachable (no connection, silent, queue full), kPeerProtocol (the
  /// peer refused it), kBodyTooLarge. The message may have arrived
  /// nevertheless. Messages may arrive out of order.
  void SendMessage(const std::string& address,
                   const v1::PeerMessage& message,
                   const std::function<void(core::Error)>& on_failed);

  /// @brief Forwards a request to a peer and streams its answer back.
  /// @return a handle to cancel it; valid immediately
  /// Errors in on_end: kPeerUnreachable (connection failed or silent),
  /// kQueueFull (max_forwards reached), kPeerProtocol (the link refused it),
  /// kBadRequest, kHeaderTooLarge or kBodyTooLarge (cannot be carried),
  /// kOutcomeUnknown (reset before the head, or cancelled), kAnswerCut (reset
  /// after the head).
  ForwardHandle StartForward(const std::string& address,
                             const ForwardHead& head,
                             std::string body,
                             ForwardCallbacks callbacks);

  /// @brief Rejects new calls, finishes those in progress and sends GOAWAY.
  /// @param on_closed called once when no stream is left
  void Close(std::function<void()> on_closed);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_CLIENT_H_
