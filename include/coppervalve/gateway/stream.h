#ifndef COPPERVALVE_GATEWAY_STREAM_H_
#define COPPERVALVE_GATEWAY_STREAM_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>      // size_t
#include <cstdint>      // uint8_t, uint64_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/gateway/peer_liveness.h"

namespace coppervalve::gateway {

/// @brief How the peer stopped sending.
enum class StreamEnd : uint8_t {
  kOrderly,  ///< end of file
  kReset,    ///< connection error
};

/// @brief One TCP connection on the traffic thread. Reads when data is
/// available, writes immediately and buffers what the kernel does not accept.
///
/// No handler is called after Close() or Abort().
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void(StreamEnd end)> on_end;
    /// The kernel has taken all bytes sent so far.
    std::function<void()> on_drained;
  };

  explicit Stream(boost::asio::ip::tcp::socket socket);

  /// @brief Sets socket options and starts to read. The socket is connected.
  void Start(Handlers handlers);
  /// @brief Sends bytes in order. Does nothing after a connection error.
  void Send(std::string_view bytes);
  /// @return number of bytes that the kernel has not taken yet
  size_t unsent() const { return m_out.size() - m_out_sent; }
  /// @return number of bytes that the kernel took; a request of which it took
  /// none was not sent
  uint64_t sent() const { return m_sent; }

  /// @brief Bounds what one call of on_bytes gets.
  void LimitReads(size_t size);
  void PauseReading() { m_paused = true; }
  void ResumeReading();
  /// @brief Sends the buffered bytes, shuts down the write side, and closes
  /// when the peer has closed or after a timeout.
  void CloseWhenSent();
  /// @brief Resets the connection, so that the peer can't take the data for
  /// complete.
  void Abort();
  /// @brief Closes at once; bytes that were not sent are lost.
  void Close();
  bool open() const { return m_socket.is_open(); }
  /// @return whether the peer has closed and all its data was read, or has
  /// reset the connection; on_end may not have been called yet
  bool PeerHasClosed();
  /// @return whether bytes wait in the socket and will be read
  bool HasInput() const;
  /// @return whether the peer's kernel has acknowledged all bytes sent, and the
  /// connection has not been reset since; the peer may have read less
  bool PeerHasAll();

 private:
  void Read();
  void OnReadable();
  void Flush();
  void WaitWritable();
  void End(StreamEnd end);
  void FinishClosing();
  void ObserveLargeOutput(size_t bytes);
  void StartPeerChecks();
  void SchedulePeerCheck();
  void CheckPeer();

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_linger;
  boost::asio::steady_timer m_peer_check;
  PeerLiveness m_liveness;
  /// Shared, because a running handler may close the stream.
  std::shared_ptr<const Handlers> m_handlers;
  std::string m_out;
  size_t m_out_sent = 0;
  uint64_t m_sent = 0;
  size_t m_since_look = 0;  ///< bytes since the kernel's queue was looked at
  bool m_checks_peer = false;
  size_t m_read_size;
  bool m_reading = false;
  bool m_paused = false;
  bool m_writing = false;
  bool m_closing = false;
  bool m_ended = false;
  bool m_failed = false;  ///< the kernel has stated a connection error
};

using StreamRef = std::shared_ptr<Stream>;

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_STREAM_H_
