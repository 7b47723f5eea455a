#include "http_channel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>  // optional
#include <utility>   // move

#include "beast_parser.h"
#include "beast_util.h"
#include "deadline.h"
#include "http_serializer.h"
#include "socket_util.h"

namespace coppervalve::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Bounds the header of a chunk and trailer fields, which the parser needs
// whole.
constexpr size_t kMaxUnparsedBytes = size_t{128} * 1024;

}  // namespace

struct HttpChannel::Impl : std::enable_shared_from_this<HttpChannel::Impl> {
  Impl(asio::io_context& context, std::string a_address, size_t a_max)
      : address(std::move(a_address)),
        max_reply_bytes(a_max),
        socket(context),
        deadline(context) {}

  void Begin(const HttpRequest& request,
             std::chrono::milliseconds timeout,
             Done a_done) {
    done = std::move(a_done);
    sent = false;
    wire = SerializeRequest(request, address);
    deadline.Arm(timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    });
    if (socket.is_open() && IsIdleUnusable(socket)) {
      Close();
    }
    if (socket.is_open()) {
      Write();
      return;
    }
    Connect();
  }

  void Connect() {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      End(Fault("not an address"));
      return;
    }
    buffer.clear();
    socket.async_connect(*endpoint, [self = shared_from_this()](error_code e) {
      if (e) {
        self->End(self->Fault("connect: " + e.message()));
        return;
      }
      ConfigureSocket(self->socket);
      self->Write();
    });
  }

  void Write() {
    sent = true;
    asio::async_write(socket, asio::buffer(wire),
                      [self = shared_from_this()](error_code e, size_t size) {
                        if (e) {
                          self->sent = size > 0;
                          self->End(self->Fault("write: " + e.message()));
                          return;
                        }
                        self->Read();
                      });
  }

  void Read() {
    parser.emplace();
    parser->body_limit(max_reply_bytes);
    http::async_read(
        socket, buffer, *parser,
        [self = shared_from_this()](error_code e, size_t) { self->OnRead(e); });
  }

  void OnRead(error_code e) {
    if (e) {
      End(Fault("read: " + e.message()));
      return;
    }
    HttpReply reply{HeadOf(parser->get()), std::move(parser->get().body())};
    const bool reusable = parser->keep_alive() && buffer.size() == 0;
    if (!reusable) {
      Close();
    }
    End(std::move(reply));
  }

  core::Error Fault(std::string detail) const {
    return {core::ErrorId::kUpstreamFailed, address,
            deadline.expired() ? "timeout" : std::move(detail)};
  }

  void End(core::Result<HttpReply> result) {
    deadline.Disarm();
    if (!core::IsOk(result)) {
      Close();
    }
    const Done callback = std::exchange(done, nullptr);
    // Posted, so that `done` may start the next call or destroy the channel.
    asio::post(socket.get_executor(),
               [callback, result = std::move(result)]() mutable {
                 callback(std::move(result));
               });
  }

  void Close() {
    error_code ignored;
    socket.close(ignored);
  }

  const std::string address;
  const size_t max_reply_bytes;
  tcp::socket socket;
  Deadline deadline;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::string_body>> parser;
  std::string wire;
  bool sent = false;
  Done done;
};

HttpChannel::HttpChannel(asio::io_context& context,
                         std::string address,
                         size_t max_reply_bytes)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(address),
                                    max_reply_bytes)) {}

HttpChannel::~HttpChannel() {
  m_impl->Close();
}

bool HttpChannel::sent() const {
  return m_impl->sent;
}

void HttpChannel::Call(const HttpRequest& request,
                       std::chrono::milliseconds timeout,
                       Done done) {
  m_impl->Begin(request, timeout, std::move(done));
}

}  // namespace coppervalve::net
