#ifndef COPPERVALVE_NET_DETAIL_PEER_CONNECTION_H_
#define COPPERVALVE_NET_DETAIL_PEER_CONNECTION_H_

#include <array>  // array
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>      // steady_clock
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <optional>    // optional
#include <string>      // string

#include "coppervalve/core/error.h"
#include "peer_session.h"
#include "peer_socket.h"

namespace coppervalve::net::detail {

/// @brief Transfers bytes between a socket and a session, and closes the
/// connection when nothing is received for too long. Runs on the socket's
/// strand.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using OnClosed = std::function<void(core::Error)>;

  PeerConnection(boost::asio::ip::tcp::socket socket,
                 PeerRole role,
                 const PeerSettings& settings,
                 SessionHooks hooks,
                 OnClosed on_closed);

  void Start();
  /// @brief Schedules a write of the session's pending output.
  void Flush();
  /// @brief Closes immediately. on_closed is called later, asynchronously.
  void Close(core::Error error);

  PeerSession& session() { return m_session; }
  bool open() const { return m_open; }
  boost::asio::any_io_executor executor() { return m_socket.executor(); }
  /// @return bytes that the kernel has accepted so far
  uint64_t written() const { return m_written; }
  /// @return bytes that the session has produced so far
  uint64_t produced() const {
    return m_written + (m_out.size() - m_out_written);
  }

 private:
  using Clock = std::chrono::steady_clock;

  void AwaitReadable();
  void ReadAvailable();
  void OnReceived(size_t bytes);
  void Write();
  bool FillOut();
  void AwaitWritable();
  void FinishIfDone();
  void ArmTimer();
  void CheckSilence();

  PeerSocket m_socket;
  const PeerSettings m_settings;
  PeerSession m_session;
  OnClosed m_on_closed;
  boost::asio::steady_timer m_timer;
  std::array<char, 64U << 10U> m_in{};
  std::string m_out;
  size_t m_out_written = 0;
  uint64_t m_written = 0;
  Clock::time_point m_last_received;
  std::optional<Clock::time_point> m_ping_sent;
  bool m_open = true;
  bool m_finishing = false;
  bool m_flush_scheduled = false;
  bool m_awaiting_writable = false;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_CONNECTION_H_
