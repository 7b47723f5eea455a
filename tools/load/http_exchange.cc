#include "tools/load/http_exchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>  // from_chars
#include <optional>  // optional

namespace coppervalve::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

constexpr unsigned kHttp11 = 11;
constexpr size_t kMaxReplyBytes = size_t{256} << 20U;
constexpr milliseconds kConnectTimeout{1'000};
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

std::optional<tcp::endpoint> ReadEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  beast::error_code failed;
  const auto ip = asio::ip::make_address(address.substr(0, colon), failed);
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [stopped, bad] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (failed || bad != std::errc{} || stopped != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

Request BuildRequest(const ExchangeCall& call) {
  Request request(http::string_to_verb(call.method), call.target, kHttp11);
  request.set(http::field::host, call.address);
  request.keep_alive(false);
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

std::string HeaderOf(const Parser& parser, std::string_view name) {
  const auto value = parser.get()[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

ExchangeReply ReplyOf(ExchangeResult result, Parser& parser) {
  ExchangeReply reply;
  reply.result = result;
  if (parser.is_header_done()) {
    reply.status = parser.get().result_int();
    reply.content_type = HeaderOf(parser, "content-type");
    reply.run_state = HeaderOf(parser, "x-coppervalve-run-state");
    reply.body = std::move(parser.get().body());
  }
  return reply;
}

ExchangeResult ResultOf(beast::error_code error) {
  return error == beast::error::timeout ? ExchangeResult::kTimedOut
                                        : ExchangeResult::kConnectionLost;
}

asio::awaitable<ExchangeResult> ReadReply(beast::tcp_stream& stream,
                                          const ExchangeCall& call,
                                          Parser& parser) {
  beast::flat_buffer buffer;
  size_t seen = 0;
  while (!parser.is_done()) {
    stream.expires_after(call.timeout);
    const auto [error, count] =
        co_await http::async_read_some(stream, buffer, parser, kTuple);
    if (error) {
      co_return ResultOf(error);
    }
    const std::string& body = parser.get().body();
    if (call.on_bytes && body.size() > seen) {
      call.on_bytes(std::string_view(body).substr(seen));
      seen = body.size();
    }
  }
  co_return ExchangeResult::kComplete;
}

}  // namespace

asio::awaitable<ExchangeReply> Exchange(ExchangeCall call) {
  const auto endpoint = ReadEndpoint(call.address);
  if (!endpoint) {
    co_return ExchangeReply{};
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kConnectTimeout);
  const auto [refused] = co_await stream.async_connect(*endpoint, kTuple);
  if (refused) {
    co_return ExchangeReply{};
  }
  Parser parser;
  parser.body_limit(kMaxReplyBytes);
  const Request request = BuildRequest(call);
  stream.expires_after(call.timeout);
  const auto [unsent, written] =
      co_await http::async_write(stream, request, kTuple);
  if (unsent) {
    co_return ReplyOf(ResultOf(unsent), parser);
  }
  const ExchangeResult result = co_await ReadReply(stream, call, parser);
  co_return ReplyOf(result, parser);
}

ExchangeReply ExchangeBlocking(ExchangeCall call) {
  asio::io_context context;
  ExchangeReply reply;
  asio::co_spawn(
      context, Exchange(std::move(call)),
      [&reply](const std::exception_ptr& thrown, ExchangeReply result) {
        if (!thrown) {
          reply = std::move(result);
        }
      });
  context.run();
  return reply;
}

}  // namespace coppervalve::load
