#include "apps/coppervalve/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>  // from_chars
#include <optional>  // optional

namespace coppervalve::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using core::ErrorId;

constexpr size_t kMaxReplyBytes = size_t{64} << 20U;
constexpr unsigned kHttp11 = 11;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

core::Result<tcp::endpoint> ReadEndpoint(const std::string& address) {
  const core::Error error{ErrorId::kOperatorUsage, address, "expected ip:port"};
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return error;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  beast::error_code failed;
  const auto ip = asio::ip::make_address(host, failed);
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [stopped, bad] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (failed || bad != std::errc{} || stopped != end || port == 0) {
    return error;
  }
  return tcp::endpoint(ip, port);
}

http::request<http::string_body> BuildRequest(const HttpCall& call) {
  const bool post = call.method == HttpMethod::kPost;
  http::request<http::string_body> request(
      post ? http::verb::post : http::verb::get, call.target, kHttp11);
  request.set(http::field::host, call.address);
  request.keep_alive(false);
  if (!call.bearer_token.empty()) {
    request.set(http::field::authorization, "Bearer " + call.bearer_token);
  }
  if (post) {
    request.set(http::field::content_type, "application/octet-stream");
    request.body() = call.body;
  }
  request.prepare_payload();
  return request;
}

// State of one HTTP exchange; must outlive the run of the io_context.
struct Exchange {
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  beast::flat_buffer buffer;
  beast::error_code error;
};

asio::awaitable<void> Run(beast::tcp_stream& stream,
                          tcp::endpoint endpoint,
                          Exchange& exchange) {
  std::tie(exchange.error) = co_await stream.async_connect(endpoint, kTuple);
  if (exchange.error) {
    co_return;
  }
  std::tie(exchange.error, std::ignore) =
      co_await http::async_write(stream, exchange.request, kTuple);
  if (exchange.error) {
    co_return;
  }
  std::tie(exchange.error, std::ignore) = co_await http::async_read(
      stream, exchange.buffer, exchange.parser, kTuple);
}

}  // namespace

core::Result<HttpReply> Send(const HttpCall& call) {
  const core::Result<tcp::endpoint> endpoint = ReadEndpoint(call.address);
  if (!core::IsOk(endpoint)) {
    return core::Failure(endpoint);
  }
  asio::io_context context;
  beast::tcp_stream stream(context);
  // One deadline covers connect, write and read, so that a service that accepts
  // the connection but never answers cannot block the operator.
  stream.expires_after(call.timeout);
  Exchange exchange;
  exchange.request = BuildRequest(call);
  exchange.parser.body_limit(kMaxReplyBytes);
  asio::co_spawn(context, Run(stream, core::Value(endpoint), exchange),
                 asio::detached);
  context.run();
  if (exchange.error) {
    return core::Error{ErrorId::kOperatorUnreachable, call.address,
                       exchange.error.message()};
  }
  return HttpReply{exchange.parser.get().result_int(),
                   std::move(exchange.parser.get().body())};
}

std::string PercentEncode(const std::string& text) {
  constexpr std::string_view kPlain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (kPlain.find(c) != std::string_view::npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4U]);
    encoded.push_back(kDigits[byte & 0xFU]);
  }
  return encoded;
}

}  // namespace coppervalve::cli
