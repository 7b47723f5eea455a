#include "relay_session.h"

#include <chrono>   // seconds
#include <utility>  // exchange, move

#include "chunk.h"
#include "relay_protocol.h"

namespace coppervalve::gateway {

namespace {

// Bytes that one side has not read, at which reading from the other pauses.
constexpr size_t kMaxUnsent = 65'536;
constexpr std::chrono::seconds kHeadTimeout{2};
constexpr http1::RequestBounds kHeadBounds{core::Bytes(2'048), core::Bytes(0)};

}  // namespace

RelaySession::RelaySession(boost::asio::io_context& io,
                           const Dialer& dialer,
                           boost::asio::ip::tcp::socket socket,
                           AddressOf address_of,
                           OnConnect on_connect)
    : m_dialer(dialer),
      m_address_of(std::move(address_of)),
      m_on_connect(std::move(on_connect)),
      m_timer(io),
      m_router(std::make_shared<Stream>(std::move(socket))),
      m_reader(kHeadBounds) {}

// The streams' handlers keep the session alive until both are closed.
void RelaySession::Start() {
  const auto self = shared_from_this();
  m_timer.expires_after(kHeadTimeout);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto session = weak.lock();
        if (!code && session && !session->m_busy) {
          session->Close();
        }
      });
  m_router->Start(
      {[self](std::string_view bytes) { self->OnRouterBytes(bytes); },
       [self](StreamEnd /*end*/) { self->Close(); },
       [self] {
         if (self->m_upstream) {
           self->m_upstream->ResumeReading();
         }
       }});
}

void RelaySession::OnRouterBytes(std::string_view bytes) {
  if (m_upstream) {
    m_upstream->Send(bytes);
    if (m_upstream->unsent() > kMaxUnsent) {
      m_router->PauseReading();
    }
    return;
  }
  if (m_busy) {
    // The other router waits for the response before it sends.
    Close();
    return;
  }
  m_unread.append(bytes);
  ReadHead();
}

void RelaySession::ReadHead() {
  const core::Result<size_t> used = m_reader.Feed(m_unread);
  if (!core::IsOk(used) ||
      (m_reader.done() && m_reader.head().method != kRelayMethod)) {
    Close();
    return;
  }
  m_unread.erase(0, core::Value(used));
  if (!m_reader.done()) {
    return;
  }
  m_busy = true;
  m_timer.cancel();
  const std::string* id =
      m_reader.head().headers.Find(std::string(kUpstreamHeader));
  m_upstream_id = core::UpstreamId(id == nullptr ? std::string() : *id);
  const std::optional<std::string> address = m_address_of(m_upstream_id);
  if (!address) {
    Refuse(kRelayDeclined);
    return;
  }
  Connect(*address);
}

void RelaySession::Connect(const std::string& address) {
  m_connecting = m_dialer.Dial(
      address, kUpstreamConnectTimeout,
      [self = shared_from_this()](ConnectResult result,
                                  boost::asio::ip::tcp::socket socket) {
        self->m_connecting.reset();
        self->m_on_connect(self->m_upstream_id, result);
        if (result != ConnectResult::kOpen) {
          self->Refuse(result == ConnectResult::kRefused ? kRelayRefused
                                                         : kRelayUnreachable);
          return;
        }
        self->OnConnected(std::move(socket));
      });
}

void RelaySession::OnConnected(boost::asio::ip::tcp::socket socket) {
  const auto self = shared_from_this();
  m_upstream = std::make_shared<Stream>(std::move(socket));
  m_upstream->Start(
      {[self](std::string_view bytes) { self->OnUpstreamBytes(bytes); },
       [self](StreamEnd end) { self->OnUpstreamEnd(end); },
       [self] { self->m_router->ResumeReading(); }});
  m_router->Send("HTTP/1.1 " + std::to_string(kRelayOpen) +
                 " OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void RelaySession::OnUpstreamBytes(std::string_view bytes) {
  m_router->Send(Chunk(bytes));
  if (m_router->unsent() > kMaxUnsent) {
    m_upstream->PauseReading();
  }
}

// Without the last chunk, the other router knows that the answer was cut. It
// gets what came before all the same: an answer with a length is complete by
// itself.
void RelaySession::OnUpstreamEnd(StreamEnd end) {
  const bool complete = end == StreamEnd::kOrderly &&
                        m_upstream->PeerHasAll() && !m_router->HasInput();
  m_upstream->Abort();
  if (complete) {
    m_router->Send(kLastChunk);
  }
  m_busy = false;
  m_router->CloseWhenSent();
}

void RelaySession::Refuse(int status) {
  m_busy = false;
  m_router->Send("HTTP/1.1 " + std::to_string(status) +
                 " Refused\r\nContent-Length: 0\r\n\r\n");
  m_router->CloseWhenSent();
}

void RelaySession::Close() {
  m_busy = false;
  m_timer.cancel();
  if (m_connecting) {
    m_connecting->Cancel();
    m_connecting.reset();
  }
  if (m_upstream) {
    m_upstream->Abort();
  }
  m_router->Abort();
}

}  // namespace coppervalve::gateway
