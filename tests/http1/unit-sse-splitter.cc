#include "coppervalve/http1/sse_splitter.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve::http1;

// clang-format off
TEST_GROUP(SseSplitter) {
  SseSplitter splitter;
};
// clang-format on

TEST(SseSplitter, returns_complete_events) {
  STRCMP_EQUAL("id: 1\ndata: a\n\n",
               splitter.Feed("id: 1\ndata: a\n\nid: 2\nda").c_str());
  CHECK_EQUAL(1, splitter.events());
  STRCMP_EQUAL("1", splitter.last_id().c_str());
}

TEST(SseSplitter, holds_back_an_incomplete_event) {
  // If an upstream crashes in the middle of an event whose first half was
  // forwarded, the upstream that resumes after the last complete event sends
  // that half again, and the caller receives it twice.
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b");
  STRCMP_EQUAL("id: 2\ndata: b", splitter.TakePartialEvent().c_str());
  STRCMP_EQUAL("id: 2\ndata: b\n\n",
               splitter.Feed("id: 2\ndata: b\n\n").c_str());
  CHECK_EQUAL(2, splitter.events());
}

TEST(SseSplitter, finds_an_event_boundary_across_two_reads) {
  STRCMP_EQUAL("", splitter.Feed("data: a\n").c_str());
  STRCMP_EQUAL("data: a\n\n", splitter.Feed("\n").c_str());
}

TEST(SseSplitter, accepts_lines_that_end_with_crlf) {
  STRCMP_EQUAL("id:7\r\ndata: a\r\n\r\n",
               splitter.Feed("id:7\r\ndata: a\r\n\r\n").c_str());
  STRCMP_EQUAL("7", splitter.last_id().c_str());
}

TEST(SseSplitter, counts_several_events_in_one_read) {
  splitter.Feed("data: a\n\ndata: b\n\ndata: c\n\n");
  CHECK_EQUAL(3, splitter.events());
}

// Guards against a stream of CR line ends that is held until it ends.
TEST(SseSplitter, accepts_lines_that_end_with_cr) {
  STRCMP_EQUAL("id:7\rdata: a\r\r",
               splitter.Feed("id:7\rdata: a\r\rdata").c_str());
  STRCMP_EQUAL("7", splitter.last_id().c_str());
  CHECK_EQUAL(1, splitter.events());
}

TEST(SseSplitter, accepts_mixed_line_ends) {
  STRCMP_EQUAL("data: a\n\r\ndata: b\r\n\n",
               splitter.Feed("data: a\n\r\ndata: b\r\n\n").c_str());
  CHECK_EQUAL(2, splitter.events());
}

// Guards against the second half of a line end that counts as a blank line.
TEST(SseSplitter, gives_the_same_events_however_the_bytes_are_split) {
  const std::string text =
      "id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\r: comment\n\nid: 3\n"
      "data: c\n\n";
  for (size_t first = 0; first <= text.size(); ++first) {
    for (size_t second = first; second <= text.size(); ++second) {
      SseSplitter each;
      std::string out = each.Feed(text.substr(0, first));
      out += each.Feed(text.substr(first, second - first));
      out += each.Feed(text.substr(second));
      CHECK_EQUAL(3, each.events());
      STRCMP_EQUAL("3", each.last_id().c_str());
      STRCMP_EQUAL(text.c_str(), out.c_str());
    }
  }
}

TEST(SseSplitter, tells_whether_the_bytes_end_inside_an_event) {
  const auto inside = [](std::string_view text) {
    SseSplitter each;
    each.Feed(text);
    return each.InsideEvent();
  };
  for (const char* text : {"", "data: a\n\n", "\n", "\r\n", ": comment",
                           ": comment\n", "data: a\r\r", "data: a\n\n\n"}) {
    CHECK_FALSE(inside(text));
  }
  for (const char* text : {"d", "data: a", "data: a\n", "data: a\r\n",
                           "data: a\n\nid", ": comment\ndata: a\n"}) {
    CHECK(inside(text));
  }
}

TEST(SseSplitter, a_discarded_part_of_an_event_leaves_nothing_behind) {
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\r");
  splitter.TakePartialEvent();
  CHECK_FALSE(splitter.InsideEvent());
  STRCMP_EQUAL("\ndata: c\n\n", splitter.Feed("\ndata: c\n\n").c_str());
  STRCMP_EQUAL("1", splitter.last_id().c_str());
  CHECK_EQUAL(2, splitter.events());
}

TEST(SseSplitter, complete_events_are_not_kept) {
  // Failure: each stream keeps memory for its largest event.
  splitter.Feed("data: " + std::string(100'000, 'x') + "\n\n");
  CHECK(splitter.held_bytes() < 100);
}
