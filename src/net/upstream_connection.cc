#include "upstream_connection.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>  // exchange, move

#include "socket_util.h"

namespace coppervalve::net {

namespace asio = boost::asio;

UpstreamConnection::UpstreamConnection(asio::io_context& context,
                                       UpstreamPool& pool,
                                       std::string address)
    : m_pool(pool),
      m_address(std::move(address)),
      m_socket(context),
      m_deadline(context) {}

void UpstreamConnection::Send(const std::string& wire,
                              std::chrono::microseconds connect_timeout,
                              std::chrono::microseconds answer_timeout,
                              Done done) {
  m_wire = &wire;
  m_connect_timeout = connect_timeout;
  m_answer_timeout = answer_timeout;
  m_done = std::move(done);
  if (auto idle = m_pool.Acquire(m_address)) {
    m_socket = std::move(*idle);
    m_reused = true;
    Write();
    return;
  }
  Connect();
}

void UpstreamConnection::Connect() {
  m_reused = false;
  const auto endpoint = ParseEndpoint(m_address);
  if (!endpoint) {
    // Posted, because the owner may still be in its constructor.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      self->End(SendEnd::kNotSent, asio::error::invalid_argument);
    });
    return;
  }
  SetTimeout(m_connect_timeout);
  m_socket.async_connect(*endpoint,
                         [self = shared_from_this()](ErrorCode error) {
                           if (!self->m_done) {
                             return;
                           }
                           if (error) {
                             self->End(SendEnd::kNotSent, error);
                             return;
                           }
                           ConfigureSocket(self->m_socket);
                           self->Write();
                         });
}

void UpstreamConnection::Write() {
  SetTimeout(m_answer_timeout);
  asio::async_write(
      m_socket, asio::buffer(*m_wire),
      [self = shared_from_this()](ErrorCode error, size_t written) {
        self->OnWritten(error, written);
      });
}

void UpstreamConnection::OnWritten(ErrorCode error, size_t written) {
  if (!m_done) {
    return;
  }
  if (!error) {
    End(SendEnd::kSent, error);
    return;
  }
  // Once the kernel has accepted a byte, the upstream may have the request, and
  // sending it again could run it twice. Before that, a retry on another
  // connection is safe.
  if (written > 0) {
    End(SendEnd::kBroken, error);
    return;
  }
  if (m_reused && !m_deadline.expired()) {
    CloseSocket();
    Connect();
    return;
  }
  End(SendEnd::kNotSent, error);
}

void UpstreamConnection::End(SendEnd end, ErrorCode error) {
  if (const Done done = std::exchange(m_done, nullptr)) {
    done(end, error);
  }
}

void UpstreamConnection::SetTimeout(std::chrono::microseconds after) {
  m_deadline.Arm(after, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      // A middlebox may have dropped the state of this idle connection. It has
      // then probably dropped that of the other idle connections to this
      // upstream too, while new ones work.
      self->m_pool.CloseAll(self->m_address);
      self->CloseSocket();
    }
  });
}

std::string UpstreamConnection::DescribeError(ErrorCode error) const {
  return m_deadline.expired() ? "timeout" : error.message();
}

void UpstreamConnection::Close() {
  m_done = nullptr;
  m_deadline.Disarm();
  CloseSocket();
}

void UpstreamConnection::ReleaseToPool() {
  m_deadline.Disarm();
  m_pool.Release(m_address, std::move(m_socket));
}

void UpstreamConnection::CloseSocket() {
  ErrorCode ignored;
  m_socket.close(ignored);
}

}  // namespace coppervalve::net
