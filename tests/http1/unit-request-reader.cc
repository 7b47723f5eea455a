#include "coppervalve/http1/request_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve;
using namespace coppervalve::http1;

namespace {

constexpr const char* kPlain =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";

RequestReader Reader() {
  return RequestReader(RequestBounds{core::Bytes(512), core::Bytes(1'000)});
}

core::ErrorId ErrorFor(const std::string& text) {
  RequestReader reader = Reader();
  const core::Result<size_t> used = reader.Feed(text);
  CHECK_FALSE(core::IsOk(used));
  return core::IsOk(used) ? core::ErrorId::kNotReady : core::Failure(used).id;
}

void CheckRefused(const std::string& text) {
  CHECK(ErrorFor(text) == core::ErrorId::kBadRequest);
}

}  // namespace

// clang-format off
TEST_GROUP(RequestReader){};
// clang-format on

TEST(RequestReader, parses_a_complete_request) {
  RequestReader reader = Reader();
  const core::Result<size_t> used = reader.Feed(kPlain);
  CHECK(core::IsOk(used));
  CHECK(reader.done());
  STRCMP_EQUAL("POST", reader.head().method.c_str());
  STRCMP_EQUAL("/a/b?c=d", reader.head().target.c_str());
  STRCMP_EQUAL("abc", reader.TakeBody().c_str());
}

TEST(RequestReader, parses_a_request_that_arrives_byte_by_byte) {
  RequestReader reader = Reader();
  std::string unread;
  for (const char c : std::string(kPlain)) {
    unread += c;
    const core::Result<size_t> used = reader.Feed(unread);
    CHECK(core::IsOk(used));
    unread.erase(0, core::Value(used));
  }
  CHECK(reader.done());
  STRCMP_EQUAL("abc", reader.TakeBody().c_str());
}

TEST(RequestReader, joins_chunks) {
  RequestReader reader = Reader();
  reader.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n");
  CHECK(reader.done());
  STRCMP_EQUAL("abc", reader.TakeBody().c_str());
}

TEST(RequestReader, leaves_the_next_request_alone) {
  RequestReader reader = Reader();
  const std::string two = std::string(kPlain) + "GET / HTTP/1.1\r\n";
  const core::Result<size_t> used = reader.Feed(two);
  CHECK_EQUAL(std::string(kPlain).size(), core::Value(used));
}

TEST(RequestReader, refuses_both_a_length_and_chunks) {
  // Request smuggling: the router uses the length and the upstream the chunks,
  // or the other way round. What one takes for the rest of the body is the next
  // request to the other, which no caller sent.
  CheckRefused(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CheckRefused(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Content-Length: 5\r\n\r\n0\r\n\r\n");
}

TEST(RequestReader, refuses_repeated_lengths_and_missing_or_repeated_hosts) {
  CheckRefused(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Content-Length: 3\r\n\r\nabc");
  CheckRefused("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
  CheckRefused("GET / HTTP/1.1\r\nAccept: x\r\n\r\n");
}

TEST(RequestReader, refuses_transfer_codings_other_than_chunked) {
  CheckRefused(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, "
      "chunked\r\n\r\n0\r\n\r\n");
}

TEST(RequestReader, refuses_a_folded_header) {
  CheckRefused("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n");
}

TEST(RequestReader, refuses_a_space_before_the_colon) {
  CheckRefused("GET / HTTP/1.1\r\nHost : h\r\n\r\n");
}

TEST(RequestReader, limits_the_size_of_header_and_body) {
  CHECK(ErrorFor("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x')) ==
        core::ErrorId::kHeaderTooLarge);
  CHECK(ErrorFor("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                 "1001\r\n\r\n") == core::ErrorId::kBodyTooLarge);
}
