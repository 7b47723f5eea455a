#include "coppervalve/http1/event_cutter.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve::http1;

// clang-format off
TEST_GROUP(EventCutter) {
  EventCutter cutter;
};
// clang-format on

TEST(EventCutter, passes_whole_events_on) {
  STRCMP_EQUAL("id: 1\ndata: a\n\n",
               cutter.Feed("id: 1\ndata: a\n\nid: 2\nda").c_str());
  CHECK_EQUAL(1, cutter.events());
  STRCMP_EQUAL("1", cutter.last_id().c_str());
}

TEST(EventCutter, holds_a_torn_event_back) {
  // A caller gets a piece twice. An upstream crashes in the middle of an
  // event; had its first half been passed on, the upstream that goes on after
  // the last whole event would send it again.
  cutter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b");
  STRCMP_EQUAL("id: 2\ndata: b", cutter.TakeTail().c_str());
  STRCMP_EQUAL("id: 2\ndata: b\n\n", cutter.Feed("id: 2\ndata: b\n\n").c_str());
  CHECK_EQUAL(2, cutter.events());
}

TEST(EventCutter, finds_the_end_across_two_reads) {
  STRCMP_EQUAL("", cutter.Feed("data: a\n").c_str());
  STRCMP_EQUAL("data: a\n\n", cutter.Feed("\n").c_str());
}

TEST(EventCutter, reads_lines_that_end_with_returns) {
  STRCMP_EQUAL("id:7\r\ndata: a\r\n\r\n",
               cutter.Feed("id:7\r\ndata: a\r\n\r\n").c_str());
  STRCMP_EQUAL("7", cutter.last_id().c_str());
}

TEST(EventCutter, counts_several_events_of_one_read) {
  cutter.Feed("data: a\n\ndata: b\n\ndata: c\n\n");
  CHECK_EQUAL(3, cutter.events());
}
