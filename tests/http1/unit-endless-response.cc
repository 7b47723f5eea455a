#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "coppervalve/http1/response_reader.h"

using namespace coppervalve;
using namespace coppervalve::http1;

namespace {

constexpr size_t kReadSize = 65'536;
// More than any unfinished part of a response may take.
constexpr size_t kMaxFed = 1'048'576;

/// @brief Feeds a response whose rest repeats without end.
/// @return number of bytes that the reader accepted, and kept or skipped
size_t AcceptedOf(const std::string& begin, const std::string& rest) {
  ResponseReader reader(false);
  std::string unread = begin;
  size_t fed = begin.size();
  while (fed < kMaxFed) {
    std::string more;
    while (more.size() < kReadSize) {
      more += rest;
    }
    unread += more;
    fed += more.size();
    const core::Result<size_t> used = reader.Feed(unread);
    if (!core::IsOk(used)) {
      return fed;
    }
    unread.erase(0, core::Value(used));
  }
  return fed;
}

constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// clang-format off
TEST_GROUP(EndlessResponse) {
  // An unfinished part is at most one read larger than its bound.
  void CheckBounded(const std::string& begin, const std::string& rest) {
    CHECK(AcceptedOf(begin, rest) <= 4 * kReadSize);
  }
};
// clang-format on

TEST(EndlessResponse, a_status_line_is_bounded) {
  CheckBounded("HTTP/1.1 200 ", "x");
}

TEST(EndlessResponse, a_field_is_bounded) {
  CheckBounded("HTTP/1.1 200 OK\r\nName: ", "x");
}

TEST(EndlessResponse, the_fields_together_are_bounded) {
  CheckBounded("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
}

TEST(EndlessResponse, interim_responses_are_bounded) {
  CheckBounded({}, "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST(EndlessResponse, interim_responses_that_come_in_pieces_are_bounded) {
  ResponseReader reader(false);
  size_t fed = 0;
  bool accepted = true;
  while (accepted && fed < kMaxFed) {
    for (const char* line : {"HTTP/1.1 102 Processing\r\n", "\r\n"}) {
      accepted = accepted && core::IsOk(reader.Feed(line));
      fed += std::string(line).size();
    }
  }
  CHECK(fed <= 4 * kReadSize);
}

TEST(EndlessResponse, the_size_of_a_chunk_is_bounded) {
  CheckBounded(kChunked, "0");
}

TEST(EndlessResponse, an_extension_of_a_chunk_is_bounded) {
  CheckBounded(std::string(kChunked) + "5;name=", "x");
}

TEST(EndlessResponse, trailer_fields_are_bounded) {
  CheckBounded(std::string(kChunked) + "0\r\n", "Name: value\r\n");
}

TEST(EndlessResponse, a_large_body_is_read_whole) {
  constexpr size_t kSize = 8'388'608;
  ResponseReader reader(false);
  std::string unread =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) +
      "\r\n\r\n";
  size_t received = 0;
  for (size_t sent = 0; sent < kSize; sent += kReadSize) {
    unread += std::string(kReadSize, 'x');
    const core::Result<size_t> used = reader.Feed(unread);
    CHECK(core::IsOk(used));
    unread.erase(0, core::Value(used));
    received += reader.TakeBody().size();
  }
  CHECK(reader.done());
  CHECK_EQUAL(kSize, received);
}

TEST(EndlessResponse, a_large_chunk_is_read_whole) {
  constexpr size_t kSize = 1'048'576;
  ResponseReader reader(false);
  std::string text = std::string(kChunked) + "100000\r\n" +
                     std::string(kSize, 'x') + "\r\n0\r\nName: value\r\n\r\n";
  size_t received = 0;
  std::string unread;
  for (size_t at = 0; at < text.size(); at += kReadSize) {
    unread += text.substr(at, kReadSize);
    const core::Result<size_t> used = reader.Feed(unread);
    CHECK(core::IsOk(used));
    unread.erase(0, core::Value(used));
    received += reader.TakeBody().size();
  }
  CHECK(reader.done());
  CHECK_EQUAL(kSize, received);
}
