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

namespace coppervalve::gateway {

/// @brief How the other end stopped sending.
enum class StreamEnd : uint8_t {
  kOrderly,  ///< it closed
  kReset,    ///< the connection broke
};

/// @brief One TCP connection on the traffic thread: reads when there is
/// something, writes at once and queues what the kernel does not take.
///
/// No handler is called any more after Close() or Abort().
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void(StreamEnd end)> on_end;
    /// All that was sent so far is in the kernel.
    std::function<void()> on_drained;
  };

  explicit Stream(boost::asio::ip::tcp::socket socket);

  /// @brief Sets the options of a connected socket and starts to read.
  void Start(Handlers handlers);
  /// @brief Sends in order. Nothing is sent after an end by reset.
  void Send(std::string_view bytes);
  /// @return bytes that the kernel has not taken yet
  size_t unsent() const { return m_out.size() - m_out_sent; }
  /// @return bytes that the kernel took; a request of which it took none has
  /// not been sent
  uint64_t sent() const { return m_sent; }

  void PauseReading() { m_paused = true; }
  void ResumeReading();
  /// @brief Closes once all is sent and the other end closed, or soon after.
  void CloseWhenSent();
  /// @brief Resets the connection: what was sent must not look complete.
  void Abort();
  bool open() const { return m_socket.is_open(); }
  /// @return whether the peer has closed and everything it sent was read;
  /// on_end may not have been called yet
  bool PeerHasClosed();

 private:
  void Read();
  void OnReadable();
  void Flush();
  void WaitWritable();
  void End(StreamEnd end);
  void FinishClosing();
  void Close();

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_linger;
  /// Shared with a running handler, which may close the stream.
  std::shared_ptr<const Handlers> m_handlers;
  std::string m_out;
  size_t m_out_sent = 0;
  uint64_t m_sent = 0;
  bool m_reading = false;
  bool m_paused = false;
  bool m_writing = false;
  bool m_closing = false;
  bool m_ended = false;
};

using StreamRef = std::shared_ptr<Stream>;

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_STREAM_H_
