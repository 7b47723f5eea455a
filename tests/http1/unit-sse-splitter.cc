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
