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

/// @brief The answer to one forward, written by whoever runs the request.
///
/// Calls may come from any thread; they take effect in the order of the calls
/// of one thread. Dropping the last reference before End() aborts: an answer
/// that its writer forgot is never taken for a whole one. Must not outlive the
/// io_context.
class ForwardReply {
 public:
  struct Impl;

  explicit ForwardReply(std::shared_ptr<Impl> impl);
  ~ForwardReply();
  ForwardReply(const ForwardReply&) = delete;
  ForwardReply& operator=(const ForwardReply&) = delete;

  /// @brief Sends status (200 to 599) and headers. First and once.
  void Head(ReplyHead head);

  /// @brief Sends a part of the body.
  /// @param on_writable called once when more should be sent, at once or after
  /// the reader caught up; never after the stream ended. May be empty.
  void Body(std::string bytes, std::function<void()> on_writable);

  /// @brief The answer is whole.
  void End();

  /// @brief Ends with RST_STREAM: the other side learns that the answer is not
  /// whole. Does nothing after End().
  void Abort(core::Error error);

  /// @brief Sets what to call when the stream ends before End() or Abort():
  /// cancelled by the other side, or its connection lost. Called at once if
  /// that has happened already.
  void OnCancelled(std::function<void()> callback);

 private:
  std::shared_ptr<Impl> m_impl;
};

/// @brief What a server hands over; called on threads of the io_context, one
/// at a time per connection.
struct PeerServerCallbacks {
  /// Must return quickly: the sender's confirmation waits for it.
  std::function<void(v1::PeerMessage message)> on_message;
  std::function<void(ForwardHead head,
                     std::string body,
                     std::shared_ptr<ForwardReply> reply)>
      on_forward;
  /// A stream that was refused, or aborted by this side, for the log. May be
  /// empty.
  std::function<void(core::Error error)> on_refused;
};

/// @brief The accepting side of the links. Nothing of a stream is handed over
/// before it has proved the shared secret (see peer_auth.h).
class PeerServer {
 public:
  /// @param address IP number to listen on
  /// @param port 0 picks a free one
  PeerServer(boost::asio::io_context& io,
             std::string address,
             uint16_t port,
             std::string shared_secret,
             PeerServerCallbacks callbacks,
             PeerSettings settings = {});
  /// Closes all connections at once; unfinished forwards are cancelled.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// @brief Binds and starts to accept.
  /// @return kSettingBadValue when the secret is empty or the address cannot be
  /// listened on
  core::Status Listen();

  /// @return the port in use; 0 before Listen()
  uint16_t port() const;

  /// @brief Stops accepting, sends GOAWAY, finishes the streams in progress.
  /// @param on_closed called once when no connection is left
  void Close(std::function<void()> on_closed);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_SERVER_H_
