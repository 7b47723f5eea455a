#ifndef COPPERVALVE_NET_PEER_SERVER_H_
#define COPPERVALVE_NET_PEER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/core/error.h"
#include "coppervalve/core/result.h"
#include "coppervalve/net/peer_types.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::net {

/// @brief Writes the answer to one forward.
///
/// Thread-safe; the calls of one thread take effect in their order. Dropping
/// the last reference before End() aborts the stream, so that an unfinished
/// answer never looks complete. Must not outlive the io_context.
class ForwardReply {
 public:
  struct Impl;

  explicit ForwardReply(std::shared_ptr<Impl> impl);
  ~ForwardReply();
  ForwardReply(const ForwardReply&) = delete;
  ForwardReply& operator=(const ForwardReply&) = delete;

  /// @brief Sends status (200 to 599) and headers. Must be called first, once.
  void Head(ReplyHead head);

  /// @brief Sends a part of the body.
  /// @param on_writable called once when more may be sent: immediately, or when
  /// the reader has caught up; never after the stream has ended. May be empty.
  void Body(std::string bytes, std::function<void()> on_writable);

  /// @brief Completes the answer.
  void End();

  /// @brief Ends with RST_STREAM, which marks the answer as incomplete for the
  /// other side. Does nothing after End().
  void Abort(core::Error error);

  /// @brief Sets the callback for a stream that ends before End() or Abort():
  /// cancelled by the other side, or connection lost. Called immediately if
  /// that has already happened.
  void OnCancelled(std::function<void()> callback);

 private:
  std::shared_ptr<Impl> m_impl;
};

/// @brief Callbacks of a server, called on threads of the io_context, one at a
/// time per connection.
struct PeerServerCallbacks {
  /// Must return quickly: the sender's confirmation waits for it.
  std::function<void(v1::PeerMessage message)> on_message;
  std::function<void(ForwardHead head,
                     std::string body,
                     std::shared_ptr<ForwardReply> reply)>
      on_forward;
  /// Reports a stream that this side refused or aborted, for logging. May be
  /// empty.
  std::function<void(core::Error error)> on_refused;
};

/// @brief The accepting side of the links. No data of a stream is delivered
/// before the stream is authenticated (see peer_auth.h).
class PeerServer {
 public:
  /// @param address IP address to listen on
  /// @param port 0 picks a free one
  PeerServer(boost::asio::io_context& io,
             std::string address,
             uint16_t port,
             std::string shared_secret,
             PeerServerCallbacks callbacks,
             PeerSettings settings = {});
  /// Closes all connections immediately; unfinished forwards are cancelled.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// @brief Binds and starts to accept.
  /// @return kSettingBadValue if the secret is empty or the address can't ever
  /// be listened on, kAddressUnavailable if it can't be now
  core::Status Listen();

  /// @return the port in use; 0 before Listen()
  uint16_t port() const;

  /// @brief Stops accepting, sends GOAWAY and finishes the streams in progress.
  /// @param on_closed called once when no connection is left
  void Close(std::function<void()> on_closed);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_SERVER_H_
