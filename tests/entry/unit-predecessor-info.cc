#include "coppervalve/entry/predecessor_info.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(PredecessorInfo) {
  v1::RouterBeat last;
  PredecessorInfo next{"boot-1", At(101.5)};
  void setup() override {
    last.set_boot("boot-1");
    last.set_written_at(At(100).time_since_epoch().count());
    last.set_not_before(At(102.5).time_since_epoch().count());
  }
};
// clang-format on

TEST(PredecessorInfo, a_quick_restart_in_the_same_boot_is_a_proof) {
  CHECK(ReserveUntouched(last, next));
}

TEST(PredecessorInfo, a_restart_after_the_stated_time_is_no_proof) {
  next.ended_by = At(102.5);
  CHECK_FALSE(ReserveUntouched(last, next));
}

TEST(PredecessorInfo, a_restart_after_a_reboot_is_no_proof) {
  // The VM lost power; its clock restarted and may show any time.
  next.boot = "boot-2";
  CHECK_FALSE(ReserveUntouched(last, next));
  next.boot = "";
  last.set_boot("");
  CHECK_FALSE(ReserveUntouched(last, next));
}

TEST(PredecessorInfo, a_clock_that_was_set_back_is_no_proof) {
  next.ended_by = At(99);
  CHECK_FALSE(ReserveUntouched(last, next));
}

TEST(PredecessorInfo, no_proof_if_the_previous_incarnation_may_be_alive) {
  // The port could not be bound, so the previous incarnation may still be
  // running.
  next.ended_by.reset();
  CHECK_FALSE(ReserveUntouched(last, next));
}

TEST(PredecessorInfo, a_record_without_a_time_is_no_proof) {
  last.set_not_before(0);
  CHECK_FALSE(ReserveUntouched(last, next));
}
