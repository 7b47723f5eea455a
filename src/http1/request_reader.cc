#include "coppervalve/http1/request_reader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <utility>  // exchange, move

namespace coppervalve::http1 {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

core::Error ToError(const beast::error_code& code) {
  if (code == http::error::header_limit) {
    return {core::ErrorId::kHeaderTooLarge, "request", code.message()};
  }
  if (code == http::error::body_limit) {
    return {core::ErrorId::kBodyTooLarge, "request", code.message()};
  }
  return {core::ErrorId::kBadRequest, "request", code.message()};
}

}  // namespace

class RequestReader::Parser : public http::basic_parser<true> {
 public:
  core::Result<size_t> Feed(std::string_view bytes);

  RequestHead m_head;
  std::string m_body;

 private:
  bool HasAmbiguousFraming() const;

  void on_request_impl(http::verb /*verb*/,
                       beast::string_view method,
                       beast::string_view target,
                       int /*version*/,
                       beast::error_code& /*ec*/) override {
    m_head.method = std::string(method.data(), method.size());
    m_head.target = std::string(target.data(), target.size());
  }
  void on_response_impl(int /*code*/,
                        beast::string_view /*reason*/,
                        int /*version*/,
                        beast::error_code& /*ec*/) override {}
  void on_field_impl(http::field name,
                     beast::string_view name_text,
                     beast::string_view value,
                     beast::error_code& ec) override;
  void on_header_impl(beast::error_code& ec) override;
  void on_body_init_impl(
      const boost::optional<std::uint64_t>& /*content_length*/,
      beast::error_code& /*ec*/) override {}
  std::size_t on_body_impl(beast::string_view body,
                           beast::error_code& /*ec*/) override {
    m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            beast::error_code& /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast::string_view body,
                                 beast::error_code& /*ec*/) override {
    m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(beast::error_code& /*ec*/) override {}

  std::string_view m_input;
  bool m_head_read = false;
};

void RequestReader::Parser::on_field_impl(http::field name,
                                          beast::string_view name_text,
                                          beast::string_view value,
                                          beast::error_code& ec) {
  // Trailers apply to a single connection, and the router does not use them.
  if (m_head_read) {
    return;
  }
  // The parser assembles a folded value outside of the input. The next hop may
  // end the value at the line break and treat the rest as a header or a request
  // of its own, so folded headers are rejected.
  const bool in_input =
      value.empty() || (value.data() >= m_input.data() &&
                        value.data() < m_input.data() + m_input.size());
  if (!in_input) {
    ec = http::error::bad_value;
    return;
  }
  if (name == http::field::expect) {
    m_head.expects_continue = true;
  }
  m_head.headers.Add({name_text.data(), name_text.size()},
                     {value.data(), value.size()});
}

// If two parsers choose differently among repeated or conflicting framing
// headers, part of one request becomes another request that no caller sent
// (request smuggling). Such requests are rejected, not repaired.
bool RequestReader::Parser::HasAmbiguousFraming() const {
  const HeaderList& headers = m_head.headers;
  if (headers.Count("host") != 1 || headers.Count("content-length") > 1 ||
      headers.Count("transfer-encoding") > 1) {
    return true;
  }
  const std::string* encoding = headers.Find("transfer-encoding");
  if (encoding == nullptr) {
    return false;
  }
  return !EqualsIgnoreCase(*encoding, "chunked") ||
         headers.Find("content-length") != nullptr;
}

void RequestReader::Parser::on_header_impl(beast::error_code& ec) {
  m_head_read = true;
  m_head.keep_alive = keep_alive();
  if (HasAmbiguousFraming()) {
    ec = http::error::bad_transfer_encoding;
  }
}

core::Result<size_t> RequestReader::Parser::Feed(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() && !is_done()) {
    m_input = bytes.substr(used);
    beast::error_code code;
    used += put(boost::asio::buffer(m_input.data(), m_input.size()), code);
    if (code == http::error::need_more) {
      break;
    }
    if (code) {
      return ToError(code);
    }
  }
  return used;
}

RequestReader::RequestReader(const RequestBounds& bounds)
    : m_parser(std::make_unique<Parser>()),
      m_max_unfinished(static_cast<size_t>(bounds.header.value())) {
  m_parser->header_limit(static_cast<uint32_t>(bounds.header.value()));
  m_parser->body_limit(static_cast<uint64_t>(bounds.body.value()));
  m_parser->eager(true);
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

// The parser bounds a head, but neither the header of a chunk nor trailer
// fields, which it leaves unused until they are complete.
core::Result<size_t> RequestReader::Feed(std::string_view bytes) {
  core::Result<size_t> used = m_parser->Feed(bytes);
  if (core::IsOk(used) && !done() &&
      bytes.size() - core::Value(used) > m_max_unfinished) {
    return core::Error{core::ErrorId::kHeaderTooLarge, "request",
                       "an unfinished part exceeds the size limit"};
  }
  return used;
}

bool RequestReader::begun() const {
  return m_parser->got_some();
}

bool RequestReader::head_done() const {
  return m_parser->is_header_done();
}

bool RequestReader::done() const {
  return m_parser->is_done();
}

const RequestHead& RequestReader::head() const {
  return m_parser->m_head;
}

size_t RequestReader::held_bytes() const {
  return m_parser->m_head.headers.held_bytes() + m_parser->m_body.capacity();
}

RequestHead RequestReader::TakeHead() {
  return std::move(m_parser->m_head);
}

std::string RequestReader::TakeBody() {
  return std::exchange(m_parser->m_body, {});
}

}  // namespace coppervalve::http1
