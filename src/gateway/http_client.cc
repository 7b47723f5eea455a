#include "coppervalve/gateway/http_client.h"

#include <algorithm>                  // max
#include <boost/asio/ip/address.hpp>  // make_address
#include <boost/asio/post.hpp>        // post
#include <utility>                    // move

#include "coppervalve/net/clock.h"
#include "coppervalve/net/endpoint.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

core::Error NoResponse(std::string detail) {
  return {core::ErrorId::kLogUnavailable, "store", std::move(detail)};
}

// Distinguishes an unreachable server, one that is late and an answer that was
// being transferred.
std::string DescribeTimeout(const entry::CallProgress& progress,
                            size_t received) {
  if (!progress.connected) {
    return "not connected in time";
  }
  return "no answer in time, " + std::to_string(received) + " bytes received";
}

std::string TextOf(const HttpCall& call, const std::string& address) {
  std::string text = call.method + " " + call.target +
                     " HTTP/1.1\r\nHost: " + address + "\r\n";
  if (!call.content_type.empty()) {
    text += "Content-Type: " + call.content_type + "\r\n";
  }
  if (!call.body.empty() || call.method != "GET") {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io, std::string address)
    : m_io(io), m_address(std::move(address)), m_timeout(io) {}

void HttpClient::Call(HttpCall call, Handler handler) {
  m_queue.push_back({std::move(call), std::move(handler)});
  Next();
}

void HttpClient::Next() {
  if (m_busy || m_queue.empty()) {
    return;
  }
  m_busy = true;
  ++m_call_number;
  m_reader = std::make_unique<http1::ResponseReader>(false);
  m_unread.clear();
  m_received = 0;
  m_progress = {net::BootNow(), m_stream && m_stream->open(), std::nullopt};
  ArmTimeout();
  if (m_progress.connected) {
    SendCurrent();
    return;
  }
  Connect();
}

// A response that has begun to arrive gets a longer timeout than one that has
// not: detecting an unreachable server must be fast, but a large response may
// take long on a slow link. If readers gave up half-read responses, all of them
// would request these again at once, and none would ever complete.
void HttpClient::ArmTimeout() {
  const core::TimePoint deadline = TimesOutAt();
  m_timeout.expires_after(
      std::max(deadline - net::BootNow(), core::Duration::zero()));
  m_timeout.async_wait([self = shared_from_this(), number = m_call_number,
                        deadline](const ErrorCode& code) {
    if (code || number != self->m_call_number || !self->m_busy) {
      return;
    }
    // Bytes that arrive extend the deadline; the timer is re-armed only here
    // instead of at each arrival.
    if (self->TimesOutAt() > deadline) {
      self->ArmTimeout();
      return;
    }
    self->Finish(
        NoResponse(DescribeTimeout(self->m_progress, self->m_received)), false);
  });
}

core::TimePoint HttpClient::TimesOutAt() const {
  return m_queue.front().call.patience.TimesOutAt(m_progress);
}

void HttpClient::Connect() {
  const auto endpoint = net::ReadEndpoint(m_address);
  ErrorCode bad_address;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), bad_address);
  if (!endpoint || bad_address) {
    Finish(NoResponse("invalid address: " + m_address), false);
    return;
  }
  m_connecting = std::make_shared<tcp::socket>(m_io);
  m_connecting->async_connect(
      tcp::endpoint(ip, endpoint->port),
      [self = shared_from_this(), socket = m_connecting,
       number = m_call_number](const ErrorCode& code) {
        if (number != self->m_call_number || !self->m_busy) {
          return;
        }
        if (code) {
          self->Finish(NoResponse("connect failed: " + code.message()), false);
          return;
        }
        self->m_progress.connected = true;
        self->m_stream = std::make_shared<Stream>(std::move(*socket));
        std::weak_ptr<HttpClient> weak = self;
        self->m_stream->Start({[weak](std::string_view bytes) {
                                 if (const auto caller = weak.lock()) {
                                   caller->OnBytes(bytes);
                                 }
                               },
                               [weak](StreamEnd /*end*/) {
                                 if (const auto caller = weak.lock()) {
                                   caller->OnEnd();
                                 }
                               },
                               {}});
        self->SendCurrent();
      });
}

void HttpClient::SendCurrent() {
  m_stream->Send(TextOf(m_queue.front().call, m_address));
}

void HttpClient::OnBytes(std::string_view bytes) {
  if (!m_busy) {
    // Unsolicited bytes would be parsed as the response to the next request.
    m_stream->Abort();
    m_stream.reset();
    return;
  }
  m_progress.last_received = net::BootNow();
  m_received += bytes.size();
  if (m_received > m_queue.front().call.max_bytes) {
    Finish(NoResponse("the answer is too long"), false);
    return;
  }
  m_unread.append(bytes);
  const core::Result<size_t> used = m_reader->Feed(m_unread);
  if (!core::IsOk(used)) {
    Finish(NoResponse(core::Failure(used).detail), false);
    return;
  }
  m_unread.erase(0, core::Value(used));
  if (m_reader->done()) {
    const bool keep = m_reader->head().keep_alive && m_unread.empty();
    Finish(HttpReply{m_reader->head().status, m_reader->TakeBody()}, keep);
  }
}

void HttpClient::OnEnd() {
  if (m_busy) {
    Finish(NoResponse("the connection ended"), false);
    return;
  }
  if (m_stream) {
    m_stream->Abort();
    m_stream.reset();
  }
}

void HttpClient::Finish(core::Result<HttpReply> result, bool keep_connection) {
  m_timeout.cancel();
  ++m_call_number;
  if (m_connecting) {
    ErrorCode ignored;
    m_connecting->close(ignored);
    m_connecting.reset();
  }
  if (!keep_connection && m_stream) {
    m_stream->Abort();
    m_stream.reset();
  }
  Handler handler = std::move(m_queue.front().handler);
  m_queue.pop_front();
  m_busy = false;
  // Posted, so that a handler that makes another call does not recurse.
  boost::asio::post(m_io,
                    [self = shared_from_this(), handler = std::move(handler),
                     result = std::move(result)]() mutable {
                      handler(result);
                      self->Next();
                    });
}

}  // namespace coppervalve::gateway
