#include "coppervalve/gateway/stream.h"

#include <linux/sockios.h>  // SIOCOUTQ
#include <netinet/tcp.h>    // TCP_USER_TIMEOUT
#include <sys/ioctl.h>      // ioctl
#include <sys/socket.h>     // getsockopt, recv

#include <algorithm>                   // min
#include <array>                       // array
#include <boost/asio/buffer.hpp>       // buffer
#include <boost/asio/error.hpp>        // would_block
#include <boost/asio/socket_base.hpp>  // linger
#include <cerrno>                      // errno
#include <chrono>                      // milliseconds
#include <utility>                     // exchange, move

#include "coppervalve/core/memory.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t kReadChunk = 65'536;
// TCP_USER_TIMEOUT: the connection ends if sent data stays unacknowledged for
// this long. Such a connection may never recover although new ones work.
constexpr int kUserTimeoutMs = 3'000;
constexpr std::chrono::milliseconds kLingerTimeout{1'000};
// Bytes that fit into the window of any peer that reads.
constexpr size_t kLargeOutput = 16'384;
constexpr std::chrono::milliseconds kPeerCheckInterval{1'000};

// Shared by all connections: they are read on one thread, and no handler keeps
// a view of the buffer after it returns.
std::array<char, kReadChunk>& ReadBuffer() {
  thread_local std::array<char, kReadChunk> buffer;
  return buffer;
}

bool WouldBlock(const ErrorCode& code) {
  return code == boost::asio::error::would_block ||
         code == boost::asio::error::try_again;
}

void SetUserTimeout(tcp::socket& socket, int millis) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
             sizeof(millis));
}

void SetOptions(tcp::socket& socket) {
  ErrorCode ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  SetUserTimeout(socket, kUserTimeoutMs);
}

}  // namespace

Stream::Stream(tcp::socket socket)
    : m_socket(std::move(socket)),
      m_linger(m_socket.get_executor()),
      m_peer_check(m_socket.get_executor()),
      m_read_size(kReadChunk) {}

void Stream::Start(Handlers handlers) {
  m_handlers = std::make_shared<const Handlers>(std::move(handlers));
  SetOptions(m_socket);
  Read();
}

void Stream::LimitReads(size_t size) {
  m_read_size = std::min(size, kReadChunk);
}

void Stream::ResumeReading() {
  m_paused = false;
  Read();
}

void Stream::Read() {
  if (m_reading || m_paused || m_ended || !open()) {
    return;
  }
  m_reading = true;
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](const ErrorCode& code) {
                        self->m_reading = false;
                        if (!code) {
                          self->OnReadable();
                        }
                      });
}

void Stream::OnReadable() {
  if (!open() || m_paused) {
    return;
  }
  ErrorCode code;
  const size_t count = m_socket.read_some(
      boost::asio::buffer(ReadBuffer().data(), m_read_size), code);
  if (WouldBlock(code)) {
    Read();
    return;
  }
  if (code == boost::asio::error::eof) {
    End(m_failed ? StreamEnd::kReset : StreamEnd::kOrderly);
    return;
  }
  if (code) {
    End(StreamEnd::kReset);
    return;
  }
  const auto handlers = m_handlers;
  if (!m_closing && handlers && handlers->on_bytes) {
    handlers->on_bytes(std::string_view(ReadBuffer().data(), count));
  }
  Read();
}

bool Stream::PeerHasClosed() {
  if (!open() || m_ended) {
    return true;
  }
  char next = 0;
  const ssize_t count = recv(m_socket.native_handle(), &next, sizeof(next),
                             MSG_PEEK | MSG_DONTWAIT);
  const bool none_yet = errno == EAGAIN || errno == EWOULDBLOCK;
  m_failed = m_failed || (count < 0 && !none_yet);
  return m_failed || count == 0;
}

bool Stream::HasInput() const {
  ErrorCode code;
  return open() && !m_paused && m_socket.available(code) != 0;
}

bool Stream::PeerHasAll() {
  if (!open() || unsent() != 0) {
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  const int stated =
      getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  m_failed = m_failed || (stated == 0 && error != 0);
  // A request is not refused because the kernel can't tell.
  int unacknowledged = 0;
  const bool known =
      ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return !m_failed && !(known && unacknowledged > 0);
}

void Stream::End(StreamEnd end) {
  if (m_ended) {
    return;
  }
  m_ended = true;
  if (m_closing) {
    FinishClosing();
    return;
  }
  const auto handlers = m_handlers;
  if (handlers && handlers->on_end) {
    handlers->on_end(end);
  }
}

void Stream::Send(std::string_view bytes) {
  if (!open() || m_closing || m_failed) {
    return;
  }
  ObserveLargeOutput(bytes.size());
  if (m_out.empty()) {
    ErrorCode code;
    const size_t taken = m_socket.write_some(
        boost::asio::buffer(bytes.data(), bytes.size()), code);
    if (code && !WouldBlock(code)) {
      // The read path reports it, so that handlers are not called from within
      // Send(). The kernel states an error only once: a read finds an end of
      // file after it.
      m_failed = true;
      Read();
      return;
    }
    m_sent += taken;
    bytes.remove_prefix(taken);
    if (bytes.empty()) {
      return;
    }
  }
  m_out.append(bytes);
  WaitWritable();
}

void Stream::WaitWritable() {
  if (m_writing) {
    return;
  }
  m_writing = true;
  m_socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this()](const ErrorCode& code) {
                        self->m_writing = false;
                        if (!code) {
                          self->Flush();
                        }
                      });
}

void Stream::Flush() {
  if (!open()) {
    return;
  }
  ErrorCode code;
  const size_t taken = m_socket.write_some(
      boost::asio::buffer(m_out.data() + m_out_sent, unsent()), code);
  if (code && !WouldBlock(code)) {
    End(StreamEnd::kReset);
    return;
  }
  m_sent += taken;
  m_out_sent += taken;
  if (unsent() != 0) {
    if (m_out_sent >= kReadChunk) {
      m_out.erase(0, std::exchange(m_out_sent, 0));
    }
    WaitWritable();
    return;
  }
  core::Release(m_out);
  m_out_sent = 0;
  if (m_closing) {
    FinishClosing();
    return;
  }
  const auto handlers = m_handlers;
  if (handlers && handlers->on_drained) {
    handlers->on_drained();
  }
}

void Stream::ObserveLargeOutput(size_t bytes) {
  m_since_look += bytes;
  if (m_since_look <= kLargeOutput || m_checks_peer) {
    return;
  }
  m_since_look = bytes;
  StartPeerChecks();
}

// The kernel applies TCP_USER_TIMEOUT also to a peer that acknowledges each
// probe, as long as its window is smaller than a segment: a response that does
// not fit into the window of a slow reader would be cut.
void Stream::StartPeerChecks() {
  const int socket = m_socket.native_handle();
  const std::optional<TransportState> state = ReadTransportState(socket);
  if (!state) {
    return;
  }
  m_checks_peer = true;
  SetUserTimeout(m_socket, 0);
  m_liveness.Start(m_sent - state->unacknowledged, net::BootNow());
  SchedulePeerCheck();
}

void Stream::SchedulePeerCheck() {
  m_peer_check.expires_after(kPeerCheckInterval);
  m_peer_check.async_wait([weak = weak_from_this()](const ErrorCode& code) {
    const auto self = weak.lock();
    if (!code && self && self->open()) {
      self->CheckPeer();
    }
  });
}

void Stream::CheckPeer() {
  const auto state = ReadTransportState(m_socket.native_handle());
  if (!state || (state->unacknowledged == 0 && unsent() == 0)) {
    m_checks_peer = false;
    SetUserTimeout(m_socket, kUserTimeoutMs);
    return;
  }
  if (!m_liveness.IsGone(*state, m_sent - state->unacknowledged,
                         net::BootNow())) {
    SchedulePeerCheck();
    return;
  }
  if (m_closing) {
    Abort();
    return;
  }
  End(StreamEnd::kReset);
}

// Closing a socket with unread input sends a reset, which can make the peer
// discard a complete response that it has not read yet. So only the write side
// is shut down first, and the socket is closed when the peer closes or after a
// short timeout.
void Stream::CloseWhenSent() {
  if (!open() || m_closing) {
    return;
  }
  m_closing = true;
  if (unsent() == 0) {
    FinishClosing();
  }
}

void Stream::FinishClosing() {
  if (m_ended) {
    Close();
    return;
  }
  ErrorCode ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_paused = false;
  Read();
  m_linger.expires_after(kLingerTimeout);
  m_linger.async_wait([self = shared_from_this()](const ErrorCode& code) {
    if (!code) {
      self->Close();
    }
  });
}

void Stream::Abort() {
  if (!open()) {
    return;
  }
  ErrorCode ignored;
  m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Stream::Close() {
  core::Release(m_out);
  m_out_sent = 0;
  ErrorCode ignored;
  m_linger.cancel();
  m_peer_check.cancel();
  m_socket.close(ignored);
  m_handlers.reset();
}

}  // namespace coppervalve::gateway
