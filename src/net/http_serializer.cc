#include "http_serializer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>  // ostringstream

namespace coppervalve::net {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

template <typename Header>
std::string ToText(const Header& header) {
  std::ostringstream out;
  out << header;
  return out.str();
}

http::response_header<> MakeHead(const HttpHead& head,
                                 const ResponseOptions& options) {
  http::response_header<> result;
  result.version(kHttp11);
  result.result(head.status);
  for (const auto& [name, value] : head.headers) {
    if (!IsHopByHop(name)) {
      result.insert(name, value);
    }
  }
  if (options.close) {
    result.set(http::field::connection, "close");
  }
  return result;
}

}  // namespace

std::string SerializeRequest(const HttpRequest& request,
                             std::string_view host) {
  http::request_header<> head;
  head.version(kHttp11);
  head.method_string(request.method);
  head.target(request.target);
  head.set(http::field::host, host);
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHop(name) && name != "host") {
      head.insert(name, value);
    }
  }
  const bool bodiless = request.method == "GET" || request.method == "HEAD";
  if (!bodiless || !request.body.empty()) {
    head.set(http::field::content_length, std::to_string(request.body.size()));
  }
  return ToText(head) + request.body;
}

std::string SerializeResponse(const HttpHead& head,
                              std::string_view body,
                              const ResponseOptions& options) {
  http::response_header<> result = MakeHead(head, options);
  const bool bodiless =
      head.status == kNoContent || head.status == kNotModified;
  if (!bodiless) {
    result.set(http::field::content_length, std::to_string(body.size()));
  }
  std::string text = ToText(result);
  if (!bodiless && !options.omit_body) {
    text += body;
  }
  return text;
}

std::string SerializeStreamHead(const HttpHead& head,
                                const ResponseOptions& options) {
  http::response_header<> result = MakeHead(head, options);
  result.set(http::field::transfer_encoding, "chunked");
  return ToText(result);
}

std::string SerializeChunk(std::string_view bytes) {
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())));
}

std::string SerializeLastChunk() {
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

}  // namespace coppervalve::net
