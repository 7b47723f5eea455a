#include "coppervalve/http1/response_reader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <utility>  // exchange, move

namespace coppervalve::http1 {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr uint32_t kHeaderLimit = 65'536;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

// The parser accepts any three digits. No request asks for another protocol.
bool IsExpected(int status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

core::Error ProtocolError(std::string detail) {
  return {core::ErrorId::kUpstreamProtocol, "response", std::move(detail)};
}

}  // namespace

class ResponseReader::Parser : public http::basic_parser<false> {
 public:
  ResponseHead m_head;
  std::string m_body;

 private:
  void on_request_impl(http::verb /*verb*/,
                       beast::string_view /*method*/,
                       beast::string_view /*target*/,
                       int /*version*/,
                       beast::error_code& /*ec*/) override {}
  void on_response_impl(int code,
                        beast::string_view reason,
                        int /*version*/,
                        beast::error_code& ec) override {
    if (!IsExpected(code)) {
      ec = http::error::bad_status;
      return;
    }
    m_head.status = code;
    m_head.reason = std::string(reason.data(), reason.size());
  }
  void on_field_impl(http::field /*name*/,
                     beast::string_view name_text,
                     beast::string_view value,
                     beast::error_code& /*ec*/) override {
    if (!m_head_read) {
      m_head.headers.Add({name_text.data(), name_text.size()},
                         {value.data(), value.size()});
    }
  }
  void on_header_impl(beast::error_code& /*ec*/) override {
    m_head_read = true;
    m_head.keep_alive = keep_alive();
    m_head.ends_with_connection = need_eof();
    if (content_length().has_value()) {
      m_head.length = *content_length();
    }
  }
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

  bool m_head_read = false;
};

ResponseReader::ResponseReader(bool without_body)
    : m_without_body(without_body) {
  ResetParser();
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;

void ResponseReader::ResetParser() {
  m_parser = std::make_unique<Parser>();
  m_parser->header_limit(kHeaderLimit);
  m_parser->body_limit(boost::none);
  m_parser->eager(true);
  m_parser->skip(m_without_body);
}

// The parser bounds a head, but neither the number of interim responses nor the
// header of a chunk nor trailer fields, which it leaves unused until they are
// complete.
core::Result<size_t> ResponseReader::Feed(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() && !m_parser->is_done()) {
    beast::error_code code;
    const size_t parsed = m_parser->put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), code);
    used += parsed;
    m_parsed += parsed;
    if (code == http::error::need_more) {
      break;
    }
    if (code) {
      return ProtocolError(code.message());
    }
    if (m_parser->is_done() && m_parser->m_head.status < kFirstFinalStatus) {
      m_interim_bytes += std::exchange(m_parsed, 0);
      ResetParser();
    }
  }
  if (m_interim_bytes > kHeaderLimit) {
    return ProtocolError("interim responses exceed the size limit");
  }
  if (!m_parser->is_done() && bytes.size() - used > kHeaderLimit) {
    return ProtocolError("an unfinished part exceeds the size limit");
  }
  return used;
}

bool ResponseReader::FinishAtEof() {
  if (done()) {
    return true;
  }
  if (!m_parser->got_some()) {
    return false;
  }
  beast::error_code code;
  m_parser->put_eof(code);
  return !code;
}

bool ResponseReader::head_done() const {
  return m_parser->is_header_done();
}

bool ResponseReader::done() const {
  return m_parser->is_done();
}

const ResponseHead& ResponseReader::head() const {
  return m_parser->m_head;
}

std::string ResponseReader::TakeBody() {
  return std::exchange(m_parser->m_body, {});
}

}  // namespace coppervalve::http1
