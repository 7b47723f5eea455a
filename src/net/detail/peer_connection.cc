#include "peer_connection.h"

#include <algorithm>  // max, min
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <string_view>  // string_view
#include <utility>      // move

#include "coppervalve/core/result.h"

namespace coppervalve::net::detail {
namespace {

using boost::system::error_code;

constexpr size_t kWriteBatch = 64U << 10U;
// Reads in a row before the other connections of the thread are served.
constexpr int kReadsPerTurn = 16;
constexpr std::chrono::milliseconds kMinTick{10};

core::Error Unreachable(std::string detail) {
  return core::Error{core::ErrorId::kPeerUnreachable, "connection",
                     std::move(detail)};
}

}  // namespace

PeerConnection::PeerConnection(boost::asio::ip::tcp::socket socket,
                               PeerRole role,
                               const PeerSettings& settings,
                               SessionHooks hooks,
                               OnClosed on_closed)
    : m_socket(std::move(socket)),
      m_settings(settings),
      m_session(role, settings, std::move(hooks)),
      m_on_closed(std::move(on_closed)),
      m_timer(m_socket.executor()),
      m_last_received(Clock::now()) {}

void PeerConnection::Start() {
  const error_code error = m_socket.Configure(m_settings.silence_deadline);
  if (error) {
    Close(Unreachable(error.message()));
    return;
  }
  ArmTimer();
  Flush();
  AwaitReadable();
}

void PeerConnection::Flush() {
  if (m_flush_scheduled || !m_open) {
    return;
  }
  m_flush_scheduled = true;
  boost::asio::post(m_socket.executor(), [self = shared_from_this()] {
    self->m_flush_scheduled = false;
    self->Write();
  });
}

void PeerConnection::Close(core::Error error) {
  if (!m_open) {
    return;
  }
  m_open = false;
  m_timer.cancel();
  m_socket.Close();
  boost::asio::post(m_socket.executor(),
                    [self = shared_from_this(), error = std::move(error)] {
                      if (self->m_on_closed) {
                        std::exchange(self->m_on_closed, nullptr)(error);
                      }
                    });
}

void PeerConnection::AwaitReadable() {
  m_socket.WaitReadable([self = shared_from_this()](error_code error) {
    if (!self->m_open) {
      return;
    }
    if (error) {
      self->Close(Unreachable(error.message()));
      return;
    }
    self->ReadAvailable();
    if (self->m_open) {
      self->AwaitReadable();
    }
  });
}

void PeerConnection::ReadAvailable() {
  for (int turn = 0; turn < kReadsPerTurn && m_open; ++turn) {
    error_code error;
    const size_t bytes = m_socket.ReadSome(m_in, error);
    if (error == boost::asio::error::would_block) {
      break;
    }
    if (error) {
      Close(Unreachable(error.message()));
      return;
    }
    OnReceived(bytes);
  }
  Write();
}

void PeerConnection::OnReceived(size_t bytes) {
  m_last_received = Clock::now();
  m_ping_sent.reset();
  if (m_finishing) {
    return;
  }
  const core::Status status =
      m_session.Receive(std::string_view(m_in.data(), bytes));
  if (!core::IsOk(status)) {
    Close(core::Failure(status));
  }
}

// Writes synchronously, so that the count of bytes accepted by the kernel is
// exact whenever the connection fails: it decides between "not run" and
// "unknown".
void PeerConnection::Write() {
  while (m_open && !m_awaiting_writable && FillOut()) {
    error_code error;
    const size_t bytes = m_socket.WriteSome(
        std::string_view(m_out).substr(m_out_written), error);
    if (error == boost::asio::error::would_block) {
      AwaitWritable();
      return;
    }
    if (error) {
      Close(Unreachable(error.message()));
      return;
    }
    m_out_written += bytes;
    m_written += bytes;
  }
  FinishIfDone();
}

bool PeerConnection::FillOut() {
  if (m_out_written < m_out.size()) {
    return true;
  }
  if (m_finishing) {
    return false;
  }
  m_out.clear();
  m_out_written = 0;
  const core::Status status = m_session.Fill(m_out, kWriteBatch);
  if (!core::IsOk(status)) {
    Close(core::Failure(status));
    return false;
  }
  return !m_out.empty();
}

void PeerConnection::AwaitWritable() {
  m_awaiting_writable = true;
  m_socket.WaitWritable([self = shared_from_this()](error_code error) {
    self->m_awaiting_writable = false;
    if (!self->m_open) {
      return;
    }
    if (error) {
      self->Close(Unreachable(error.message()));
      return;
    }
    self->Write();
  });
}

// Closing a socket with unread received bytes makes the kernel send RST, which
// can destroy the end of an answer in transit, so that the other side sees a
// truncated answer. Therefore only the sending half is closed here; the rest is
// closed when the other side has closed too or the silence deadline has passed.
void PeerConnection::FinishIfDone() {
  if (!m_open || m_finishing || m_awaiting_writable || !m_session.Done()) {
    return;
  }
  m_finishing = true;
  m_last_received = Clock::now();
  m_socket.ShutdownSend();
}

void PeerConnection::ArmTimer() {
  const auto grace = m_settings.silence_deadline - m_settings.ping_interval;
  const auto tick =
      std::max(kMinTick, std::min(grace, m_settings.ping_interval) / 2);
  m_timer.expires_after(tick);
  m_timer.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (error || !self || !self->m_open) {
      return;
    }
    self->CheckSilence();
    if (self->m_open) {
      self->ArmTimer();
    }
  });
}

// A middlebox can drop the state of the connection: both ends would wait
// forever, although new connections work. So each end checks on its own whether
// it receives any data. Closing fails the streams, and the next call opens a
// new connection. After a pause of this process, received bytes may still be in
// the kernel: they are read before the check, and a PING gets its full time to
// be answered.
void PeerConnection::CheckSilence() {
  ReadAvailable();
  if (!m_open) {
    return;
  }
  const Clock::time_point now = Clock::now();
  const auto silence = now - m_last_received;
  if (silence < m_settings.ping_interval) {
    return;
  }
  if (m_finishing) {
    if (silence >= m_settings.silence_deadline) {
      Close(Unreachable("closed"));
    }
    return;
  }
  if (!m_ping_sent) {
    m_ping_sent = now;
    m_session.Ping();
    Write();
    return;
  }
  const auto grace = m_settings.silence_deadline - m_settings.ping_interval;
  if (silence >= m_settings.silence_deadline && now - *m_ping_sent >= grace) {
    Close(Unreachable("silent"));
  }
}

}  // namespace coppervalve::net::detail
