#include "coppervalve/standin/http_server.h"

#include <sys/socket.h>

#include <algorithm>  // transform
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>         // tolower
#include <cerrno>         // EAGAIN, errno
#include <charconv>       // from_chars
#include <optional>       // optional
#include <sstream>        // ostringstream
#include <system_error>   // errc
#include <unordered_set>  // unordered_set
#include <utility>        // exchange, move, swap

#include "event_loop_context.h"

namespace coppervalve::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr uint64_t kMaxBodyBytes = 64ULL << 20;

std::string ToLower(std::string_view text) {
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lowered;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    parameters.emplace(pair.substr(0, equals), pair.substr(equals + 1));
  }
  return parameters;
}

HttpRequest ToRequest(http::request<http::string_body> message,
                      std::string client) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const size_t question = target.find('?');
  request.path = target.substr(0, question);
  if (question != std::string::npos) {
    request.query = ParseQuery(std::string_view(target).substr(question + 1));
  }
  for (const auto& field : message) {
    request.headers.emplace(ToLower(field.name_string()),
                            std::string(field.value()));
  }
  request.body = std::move(message.body());
  request.client = std::move(client);
  return request;
}

template <typename Message>
std::string HeadText(const Message& message) {
  std::ostringstream text;
  text << message.base();
  return text.str();
}

std::string ClientAddress(const tcp::socket& socket) {
  ErrorCode error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) {
    return {};
  }
  return remote.address().to_string() + ":" + std::to_string(remote.port());
}

}  // namespace

// One connection. Reads a request and waits for its exchange to end before it
// reads the next one.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using CloseHook = std::function<void(const std::shared_ptr<HttpSession>&)>;

  HttpSession(tcp::socket socket, const HttpHandler& handler, CloseHook hook)
      : m_socket(std::move(socket)),
        m_handler(handler),
        m_close_hook(std::move(hook)),
        m_client(ClientAddress(m_socket)) {}

  void ReadNext();
  bool IsOpen(uint64_t serial) const { return m_open && m_serial == serial; }
  void Send(const HttpResponse& response);
  void StartStream(const HttpResponse& head);
  void Write(std::string_view piece);
  void Finish();
  void Abort();
  void OnClientDisconnected(std::function<void()> hook) {
    m_on_disconnect = std::move(hook);
  }

 private:
  enum class End : uint8_t { kNone, kComplete, kCut };

  void OnRead(const ErrorCode& error);
  void WatchForDisconnect();
  bool ClientHasClosed();
  http::response<http::empty_body> MakeHead(const HttpResponse& response) const;
  void Flush();
  void OnWritten(const ErrorCode& error);
  void EndExchange();
  void HandleDisconnect();
  void Close();

  tcp::socket m_socket;
  const HttpHandler& m_handler;
  CloseHook m_close_hook;
  std::string m_client;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  uint64_t m_serial = 0;
  bool m_open = false;
  bool m_keep_alive = true;
  End m_end = End::kNone;
  std::function<void()> m_on_disconnect;
  std::string m_pending;
  std::string m_writing;
  bool m_write_in_progress = false;
};

void HttpSession::ReadNext() {
  m_parser.emplace();
  m_parser->body_limit(kMaxBodyBytes);
  http::async_read(m_socket, m_buffer, *m_parser,
                   [self = shared_from_this()](const ErrorCode& error, size_t) {
                     self->OnRead(error);
                   });
}

void HttpSession::OnRead(const ErrorCode& error) {
  if (error) {
    Close();
    return;
  }
  http::request<http::string_body> message = m_parser->release();
  m_keep_alive = message.keep_alive();
  ++m_serial;
  m_open = true;
  m_end = End::kNone;
  m_on_disconnect = nullptr;
  WatchForDisconnect();
  m_handler(ToRequest(std::move(message), m_client),
            HttpExchange(weak_from_this(), m_serial));
}

// Nothing is read while an exchange is open, so a disconnect is detected by
// waiting for readability and peeking.
void HttpSession::WatchForDisconnect() {
  m_socket.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), serial = m_serial](const ErrorCode& error) {
        if (!error && self->IsOpen(serial) && self->ClientHasClosed()) {
          self->HandleDisconnect();
        }
      });
}

bool HttpSession::ClientHasClosed() {
  char byte = 0;
  const ssize_t peeked =
      ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK;
  return peeked == 0 || (peeked < 0 && !would_block);
}

http::response<http::empty_body> HttpSession::MakeHead(
    const HttpResponse& response) const {
  constexpr unsigned kHttp11 = 11;
  http::response<http::empty_body> head(http::int_to_status(response.status),
                                        kHttp11);
  head.set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) {
    head.set(name, value);
  }
  head.keep_alive(m_keep_alive);
  return head;
}

void HttpSession::Send(const HttpResponse& response) {
  auto head = MakeHead(response);
  head.content_length(response.body.size());
  m_pending += HeadText(head);
  m_pending += response.body;
  m_end = End::kComplete;
  Flush();
}

void HttpSession::StartStream(const HttpResponse& head) {
  auto message = MakeHead(head);
  message.chunked(true);
  m_pending += HeadText(message);
  Flush();
}

void HttpSession::Write(std::string_view piece) {
  // An empty chunk would terminate the stream.
  if (piece.empty()) {
    return;
  }
  m_pending += beast::buffers_to_string(
      http::make_chunk(asio::const_buffer(piece.data(), piece.size())));
  Flush();
}

void HttpSession::Finish() {
  m_pending += beast::buffers_to_string(http::make_chunk_last());
  m_end = End::kComplete;
  Flush();
}

void HttpSession::Abort() {
  m_end = End::kCut;
  if (!m_write_in_progress) {
    EndExchange();
  }
}

void HttpSession::Flush() {
  if (m_write_in_progress || m_pending.empty()) {
    return;
  }
  m_writing.clear();
  std::swap(m_writing, m_pending);
  m_write_in_progress = true;
  asio::async_write(
      m_socket, asio::buffer(m_writing),
      [self = shared_from_this()](const ErrorCode& error, size_t) {
        self->OnWritten(error);
      });
}

void HttpSession::OnWritten(const ErrorCode& error) {
  m_write_in_progress = false;
  if (error) {
    HandleDisconnect();
    return;
  }
  if (!m_pending.empty()) {
    Flush();
    return;
  }
  if (m_end != End::kNone) {
    EndExchange();
  }
}

void HttpSession::EndExchange() {
  m_open = false;
  m_on_disconnect = nullptr;
  if (m_end == End::kCut || !m_keep_alive) {
    Close();
    return;
  }
  ReadNext();
}

void HttpSession::HandleDisconnect() {
  const bool was_open = std::exchange(m_open, false);
  const std::function<void()> hook = std::exchange(m_on_disconnect, nullptr);
  Close();
  if (was_open && hook) {
    hook();
  }
}

void HttpSession::Close() {
  m_open = false;
  ErrorCode ignored;
  m_socket.close(ignored);
  m_close_hook(shared_from_this());
}

HttpExchange::HttpExchange(std::weak_ptr<HttpSession> session, uint64_t serial)
    : m_session(std::move(session)), m_serial(serial) {}

void HttpExchange::Send(const HttpResponse& response) {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->Send(response);
  }
}

void HttpExchange::StartStream(const HttpResponse& head) {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->StartStream(head);
  }
}

void HttpExchange::Write(std::string_view piece) {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->Write(piece);
  }
}

void HttpExchange::Finish() {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->Finish();
  }
}

void HttpExchange::Abort() {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->Abort();
  }
}

void HttpExchange::OnClientDisconnected(std::function<void()> hook) {
  const auto session = m_session.lock();
  if (session && session->IsOpen(m_serial)) {
    session->OnClientDisconnected(std::move(hook));
  }
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

uint64_t HttpRequest::QueryNumber(const std::string& name,
                                  uint64_t fallback) const {
  const auto found = query.find(name);
  if (found == query.end()) {
    return fallback;
  }
  uint64_t number = 0;
  const char* end = found->second.data() + found->second.size();
  const auto [parsed, error] =
      std::from_chars(found->second.data(), end, number);
  return error == std::errc() && parsed == end ? number : fallback;
}

struct HttpServer::Impl {
  Impl(EventLoop& loop, HttpHandler request_handler)
      : acceptor(loop.context().io), handler(std::move(request_handler)) {}

  void AcceptNext();
  void Start(tcp::socket socket);

  tcp::acceptor acceptor;
  HttpHandler handler;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions;
};

void HttpServer::Impl::AcceptNext() {
  acceptor.async_accept([this](const ErrorCode& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      Start(std::move(socket));
    }
    AcceptNext();
  });
}

void HttpServer::Impl::Start(tcp::socket socket) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<HttpSession>(
      std::move(socket), handler,
      [this](const std::shared_ptr<HttpSession>& closed) {
        sessions.erase(closed);
      });
  sessions.insert(session);
  session->ReadNext();
}

HttpServer::HttpServer(EventLoop& loop, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(handler))) {}

HttpServer::~HttpServer() = default;

core::Status HttpServer::Listen(const Address& address) {
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip),
                               address.port);
  ErrorCode error;
  tcp::acceptor& acceptor = m_impl->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return core::Error{core::ErrorId::kSettingBadValue,
                       address.ip + ":" + std::to_string(address.port),
                       error.message()};
  }
  m_impl->AcceptNext();
  return core::Ok();
}

}  // namespace coppervalve::standin
