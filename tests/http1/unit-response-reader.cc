#include "coppervalve/http1/response_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string
#include <vector>  // vector

using namespace coppervalve;
using namespace coppervalve::http1;

// clang-format off
TEST_GROUP(ResponseReader) {
  ResponseReader reader{false};
};
// clang-format on

TEST(ResponseReader, reads_a_response_with_a_length) {
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(reader.done());
  CHECK_EQUAL(200, reader.head().status);
  STRCMP_EQUAL("ok", reader.TakeBody().c_str());
}

TEST(ResponseReader, skips_interim_responses) {
  reader.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n");
  CHECK(reader.done());
  CHECK_EQUAL(204, reader.head().status);
}

TEST(ResponseReader, a_truncated_body_is_incomplete) {
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
  CHECK_FALSE(reader.FinishAtEof());
}

TEST(ResponseReader, chunks_without_a_last_chunk_are_incomplete) {
  reader.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
  CHECK_FALSE(reader.FinishAtEof());
}

TEST(ResponseReader, a_body_without_a_length_ends_with_the_connection) {
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nok");
  CHECK_FALSE(reader.done());
  CHECK(reader.head().ends_with_connection);
  CHECK(reader.FinishAtEof());
}

TEST(ResponseReader, bytes_that_are_no_response_are_an_error) {
  CHECK_FALSE(core::IsOk(reader.Feed("\x01\x02garbage\r\n\r\n")));
}

TEST(ResponseReader, the_response_to_head_has_no_body) {
  ResponseReader without_body(true);
  without_body.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(without_body.done());
  CHECK_EQUAL(9, *without_body.head().length);
}

TEST(ResponseReader, a_second_response_is_left_unread) {
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const core::Result<size_t> used = reader.Feed(one + one);
  CHECK_EQUAL(one.size(), core::Value(used));
}

// Guards against an answer that ends within its head and reaches the caller as
// a complete one without a body.
TEST(ResponseReader, an_end_within_the_head_is_never_complete) {
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n\r\n"};
  for (const std::string& head : heads) {
    for (size_t end = 0; end < head.size(); ++end) {
      for (size_t split = 0; split <= end; ++split) {
        ResponseReader stopped(/*without_body=*/false);
        std::string unread;
        for (const std::string& packet :
             {head.substr(0, split), head.substr(split, end - split)}) {
          unread += packet;
          const core::Result<size_t> used = stopped.Feed(unread);
          CHECK(core::IsOk(used));
          unread.erase(0, core::Value(used));
        }
        CHECK_FALSE(stopped.done());
        CHECK_FALSE(stopped.FinishAtEof());
        CHECK_FALSE(stopped.done());
      }
    }
  }
}
