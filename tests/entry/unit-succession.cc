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

TEST(Succession, a_quick_restart_on_the_same_boot_proves_it) {
  CHECK(HeldBack(last, next));
}

TEST(Succession, after_the_stated_time_nothing_is_proved) {
  next.alone_since = At(102.5);
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, another_boot_proves_nothing) {
  // The VM lost power; its clock began anew and may show any time.
  next.boot = "boot-2";
  CHECK_FALSE(HeldBack(last, next));
  next.boot = "";
  last.set_boot("");
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_clock_that_went_back_proves_nothing) {
  next.alone_since = At(99);
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_start_that_may_have_company_proves_nothing) {
  // The port was not to be had: the start before may live.
  next.alone_since.reset();
  CHECK_FALSE(HeldBack(last, next));
}

TEST(Succession, a_record_that_does_not_vouch_proves_nothing) {
  last.set_not_before(0);
  CHECK_FALSE(HeldBack(last, next));
}
