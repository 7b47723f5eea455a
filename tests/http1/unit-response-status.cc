#include <CppUTest/TestHarness.h>

#include <string>  // string
#include <vector>  // vector

#include "coppervalve/http1/response_reader.h"

using namespace coppervalve;
using namespace coppervalve::http1;

namespace {

// @return whether the reader takes a response that comes in two packets
bool Accepts(const std::string& status) {
  ResponseReader reader(/*without_body=*/false);
  const std::string head =
      "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n";
  return core::IsOk(reader.Feed(head)) && core::IsOk(reader.Feed("ok"));
}

}  // namespace

// clang-format off
TEST_GROUP(ResponseStatus){};
// clang-format on

TEST(ResponseStatus, final_statuses_are_accepted) {
  for (const char* status : {"200", "204", "299", "304", "404", "500", "599"}) {
    CHECK_TRUE_TEXT(Accepts(status), status);
  }
}

// Guards against an answer with a status that is none and that reaches a
// caller.
TEST(ResponseStatus, a_status_that_is_none_is_an_error) {
  for (const char* status : {"000", "001", "020", "099", "600", "700", "999",
                             "0", "20", "2000", "-20", "+20", "2OO", "0x1"}) {
    CHECK_FALSE_TEXT(Accepts(status), status);
  }
}

// Guards against a body that is read as the next response's head.
TEST(ResponseStatus, a_status_below_100_is_no_interim_response) {
  ResponseReader reader(/*without_body=*/false);
  CHECK_FALSE(
      core::IsOk(reader.Feed("HTTP/1.1 000 X\r\nContent-Length: 38\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  CHECK_FALSE(reader.done());
}

TEST(ResponseStatus, interim_responses_are_skipped) {
  for (const char* status : {"100", "102", "103", "199"}) {
    ResponseReader reader(/*without_body=*/false);
    CHECK(core::IsOk(
        reader.Feed(std::string("HTTP/1.1 ") + status + " X\r\n\r\n")));
    CHECK_FALSE(reader.head_done());
    CHECK(core::IsOk(
        reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    CHECK(reader.done());
    CHECK_EQUAL(200, reader.head().status);
  }
}

// Guards against bytes of another protocol that are read as a response.
TEST(ResponseStatus, a_switch_of_protocols_that_nobody_asked_for_is_an_error) {
  ResponseReader reader(/*without_body=*/false);
  CHECK_FALSE(core::IsOk(
      reader.Feed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
}
