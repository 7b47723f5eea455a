#include <CppUTest/TestHarness.h>

#include "coppervalve/entry/topic_age.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(TopicAge) {
  TopicAge age;

  void Read(uint64_t next, uint64_t end, double called_at) {
    age.OnRead({next, end, At(called_at)});
  }
  double SecondsAt(double now) {
    return std::chrono::duration<double>(age.At(At(now))).count();
  }
};
// clang-format on

TEST(TopicAge, is_unlimited_before_the_first_complete_read) {
  CHECK(age.At(At(1)) == core::Duration::max());
  Read(5, 9, 1);
  CHECK(age.At(At(2)) == core::Duration::max());
}

TEST(TopicAge, counts_from_the_start_of_the_call) {
  // Failure: an answer that took seconds to arrive makes the table look new.
  Read(9, 9, 1);
  DOUBLES_EQUAL(4, SecondsAt(5), 1e-6);
}

TEST(TopicAge, a_read_that_ends_before_the_end_of_the_log_proves_nothing) {
  // Failure: a reader with a backlog of seconds calls its table current.
  Read(9, 9, 1);
  Read(20, 500, 6);
  DOUBLES_EQUAL(6, SecondsAt(7), 1e-6);
}

TEST(TopicAge, is_known_for_a_reader_that_is_always_a_little_behind) {
  Read(9, 9, 1);
  Read(20, 30, 2);
  Read(35, 40, 3);
  DOUBLES_EQUAL(2, SecondsAt(4), 1e-6);
  Read(50, 60, 4);
  DOUBLES_EQUAL(2, SecondsAt(5), 1e-6);
}
