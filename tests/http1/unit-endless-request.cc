#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "coppervalve/http1/request_reader.h"

using namespace coppervalve;
using namespace coppervalve::http1;

namespace {

constexpr size_t kReadSize = 65'536;
// More than any unfinished part of a request may take.
constexpr size_t kMaxFed = 1'048'576;

/// @brief Feeds a request whose rest repeats without end.
/// @return number of bytes that the reader accepted
size_t AcceptedOf(const std::string& begin, const std::string& rest) {
  RequestReader reader(RequestBounds{});
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
      CHECK(core::Failure(used).id == core::ErrorId::kHeaderTooLarge);
      return fed;
    }
    unread.erase(0, core::Value(used));
  }
  return fed;
}

constexpr const char* kChunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// clang-format off
// Guards against memory that follows what a caller sends of one unfinished part.
TEST_GROUP(EndlessRequest) {
  // An unfinished part is at most one read larger than its bound.
  void CheckBounded(const std::string& begin, const std::string& rest) {
    CHECK(AcceptedOf(begin, rest) <= 2 * kReadSize);
  }
};
// clang-format on

TEST(EndlessRequest, a_request_line_is_bounded) {
  CheckBounded("GET /", "x");
}

TEST(EndlessRequest, a_field_is_bounded) {
  CheckBounded("GET / HTTP/1.1\r\nName: ", "x");
}

TEST(EndlessRequest, the_fields_together_are_bounded) {
  CheckBounded("GET / HTTP/1.1\r\n", "Name: value\r\n");
}

TEST(EndlessRequest, a_chunk_extension_is_bounded) {
  CheckBounded(std::string(kChunked) + "1;", "x");
}

TEST(EndlessRequest, a_trailer_field_is_bounded) {
  CheckBounded(std::string(kChunked) + "0\r\nName: ", "x");
}

TEST(EndlessRequest, the_trailer_fields_together_are_bounded) {
  CheckBounded(std::string(kChunked) + "0\r\n", "Name: value\r\n");
}

TEST(EndlessRequest, trailers_within_the_bound_are_accepted) {
  RequestReader reader(RequestBounds{});
  std::string text = std::string(kChunked) + "1\r\nb\r\n0\r\n";
  for (int i = 0; i < 1'000; ++i) {
    text += "Name: value\r\n";
  }
  CHECK(core::IsOk(reader.Feed(text + "\r\n")));
  CHECK(reader.done());
}
