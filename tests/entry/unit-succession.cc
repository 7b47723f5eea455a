#include "coppervalve/entry/succession.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(Succession) {
  v1::RouterBeat last;
  Succession next{"boot-1", At(101.5)};
  void setup() override {
    last.set_boot("boot-1");
    last.set_written_at(At(100).time_since_epoch().count());
    last.set_not_before(At(102.5).time_since_epoch().count());
  }
};
// clang-format on

TEST(Succession, a_quick_restart_in_the_same_boot_is_a_proof) {
  CHECK(HeldBack(last, next));
}

TEST(Succession, a_restart_after_the_stated_time_is_no_proof) {
  next.alone_since = At(102.5);
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_restart_after_a_reboot_is_no_proof) {
  // The VM lost power; its clock restarted and may show any time.
  next.boot = "boot-2";
  CHECK_FALSE(HeldBack(last, next));
  next.boot = "";
  last.set_boot("");
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_clock_that_was_set_back_is_no_proof) {
  next.alone_since = At(99);
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, no_proof_if_the_previous_incarnation_may_be_alive) {
  // The port could not be bound, so the previous incarnation may be alive.
  next.alone_since.reset();
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_record_without_a_time_is_no_proof) {
  last.set_not_before(0);
  CHECK_FALSE(HeldBack(last, next));
}
