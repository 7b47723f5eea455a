#include "caller_reader.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>     // optional
#include <string_view>  // string_view
#include <utility>      // exchange, move

#include "beast_parser.h"
#include "beast_util.h"
#include "deadline.h"

namespace coppervalve::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using core::ErrorId;

constexpr size_t kReadBytes = size_t{8} * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp10 = 10;
// Memory that a header field takes beside its text.
constexpr size_t kFieldOverhead = 128;

std::optional<core::Error> ErrorToAnswer(error_code e, bool expired) {
  if (expired) {
    return core::Error{ErrorId::kSlowSender, "request",
                       "was not received in time"};
  }
  if (e == http::error::header_limit || e == http::error::buffer_overflow) {
    return core::Error{ErrorId::kHeaderTooLarge, "header", ""};
  }
  if (e == http::error::body_limit) {
    return core::Error{ErrorId::kBodyTooLarge, "body", ""};
  }
  // The caller closed the connection, between two requests or during one.
  if (e == http::error::end_of_stream || e == http::error::partial_message) {
    return std::nullopt;
  }
  const auto& http_errors =
      http::make_error_code(http::error::end_of_stream).category();
  if (e.category() == http_errors) {
    return core::Error{ErrorId::kBadRequest, "request", e.message()};
  }
  return std::nullopt;
}

}  // namespace

struct CallerReader::Impl : std::enable_shared_from_this<CallerReader::Impl> {
  using Parser = http::request_parser<http::string_body>;

  Impl(asio::io_context& context,
       asio::ip::tcp::socket& a_socket,
       const CallerLimits& a_limits)
      : socket(a_socket),
        limits(a_limits),
        deadline(context),
        buffer(a_limits.max_header_bytes + kReadBytes) {}

  void Begin() {
    begun = buffer.size() > 0;
    if (begun) {
      ReadHead();
      return;
    }
    Arm(limits.idle_timeout);
    socket.async_read_some(
        buffer.prepare(kReadBytes),
        [self = shared_from_this()](error_code e, size_t size) {
          if (self->stopped) {
            return;
          }
          if (e) {
            self->End(std::nullopt);
            return;
          }
          self->buffer.commit(size);
          self->begun = true;
          self->ReadHead();
        });
  }

  void ReadHead() {
    parser.emplace();
    head_bytes = 0;
    parser->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    parser->body_limit(limits.max_body_bytes);
    // One timeout for the whole header: otherwise a sender of occasional single
    // bytes could hold the connection forever.
    Arm(limits.header_timeout);
    ReadMoreOfHead();
  }

  void ReadMoreOfHead() {
    if (parser->is_header_done()) {
      OnHead();
      return;
    }
    ReadSome([this] { ReadMoreOfHead(); });
  }

  // Reads a part and reports it; `next` is not called when the request ended.
  void ReadSome(std::function<void()> next) {
    http::async_read_some(
        socket, buffer, *parser,
        [self = shared_from_this(), next = std::move(next)](error_code e,
                                                            size_t) {
          if (!self->stopped && e) {
            self->End(ErrorToAnswer(e, self->deadline.expired()));
            return;
          }
          if (!self->stopped) {
            self->ReportProgress();
          }
          if (self->stopped) {
            self->Release();
            return;
          }
          next();
        });
  }

  void OnHead() {
    Arm(limits.body_timeout);
    head_bytes = BytesOfHead();
    ReportProgress();
    if (stopped) {
      Release();
      return;
    }
    parser->eager(true);
    if (beast::iequals(parser->get()[http::field::expect], "100-continue")) {
      asio::async_write(socket, asio::buffer(kContinue),
                        [self = shared_from_this()](error_code error, size_t) {
                          if (!self->stopped && !error) {
                            self->ReadBody();
                            return;
                          }
                          self->End(std::nullopt);
                        });
      return;
    }
    ReadBody();
  }

  void ReadBody() {
    if (parser->is_done()) {
      EndRequest();
      return;
    }
    ReadSome([this] { ReadBody(); });
  }

  size_t BytesOfHead() const {
    size_t bytes = 0;
    for (const auto& field : parser->get()) {
      bytes +=
          field.name_string().size() + field.value().size() + kFieldOverhead;
    }
    return bytes;
  }

  void ReportProgress() const {
    if (on_progress) {
      on_progress(head_bytes + buffer.capacity() +
                  parser->get().body().capacity());
    }
  }

  // Frees what was received of a request that is not completed.
  void Release() {
    parser.reset();
    buffer = beast::flat_buffer();
  }

  void EndRequest() {
    auto& message = parser->get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = HeadersOf(message);
    request.body = std::move(message.body());
    request.http_1_0 = message.version() == kHttp10;
    keep_alive = parser->keep_alive();
    parser.reset();
    if (buffer.size() == 0) {
      buffer.shrink_to_fit();
    }
    const Done callback = Finish();
    if (callback) {
      callback(std::move(request));
    }
  }

  void End(std::optional<core::Error> error) {
    keep_alive = false;
    const std::function<void()> closed = on_closed;
    const Done callback = Finish();
    Release();
    if (error && callback) {
      callback(std::move(*error));
      return;
    }
    if (closed) {
      closed();
    }
  }

  Done Finish() {
    deadline.Disarm();
    on_closed = nullptr;
    return std::exchange(done, nullptr);
  }

  void Arm(std::chrono::milliseconds after) {
    deadline.Arm(after, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->stopped) {
        error_code ignored;
        self->socket.cancel(ignored);
      }
    });
  }

  asio::ip::tcp::socket& socket;
  const CallerLimits limits;
  Deadline deadline;
  // The parser leaves the header of a chunk and trailer fields in the buffer
  // until they are complete, and bounds neither.
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Done done;
  std::function<void()> on_closed;
  std::function<void(size_t held)> on_progress;
  size_t head_bytes = 0;
  bool begun = false;
  bool keep_alive = false;
  bool stopped = false;
};

CallerReader::CallerReader(asio::io_context& context,
                           asio::ip::tcp::socket& socket,
                           const CallerLimits& limits)
    : m_impl(std::make_shared<Impl>(context, socket, limits)) {}

CallerReader::~CallerReader() {
  Stop();
}

void CallerReader::Read(Done done, std::function<void()> on_closed) {
  m_impl->done = std::move(done);
  m_impl->on_closed = std::move(on_closed);
  m_impl->Begin();
}

void CallerReader::SetProgressHandler(
    std::function<void(size_t held)> on_progress) {
  m_impl->on_progress = std::move(on_progress);
}

bool CallerReader::keep_alive() const {
  return m_impl->keep_alive;
}

bool CallerReader::begun() const {
  return m_impl->begun;
}

void CallerReader::Stop() {
  m_impl->stopped = true;
  m_impl->deadline.Disarm();
  m_impl->done = nullptr;
  m_impl->on_closed = nullptr;
  m_impl->on_progress = nullptr;
}

}  // namespace coppervalve::net
