#include "coppervalve/entry/hold_ahead.h"

#include <CppUTest/TestHarness.h>

using namespace coppervalve::entry;

namespace {

constexpr double kExact = 1e-9;

double Held(double losses, double outages) {
  return HoldFactor(HoldOptions{}, {losses, outages});
}

}  // namespace

// clang-format off
TEST_GROUP(HoldAhead) {};
// clang-format on

TEST(HoldAhead, the_factor_is_one_without_history) {
  DOUBLES_EQUAL(1, Held(0, 0), kExact);
}

TEST(HoldAhead, each_loss_lowers_the_factor_down_to_its_minimum) {
  CHECK(Held(1, 0) < 0.3);
  CHECK(Held(2, 0) < Held(1, 0));
  DOUBLES_EQUAL(HoldOptions{}.least, Held(100, 0), kExact);
}

TEST(HoldAhead, outages_raise_the_factor_up_to_its_maximum) {
  CHECK(Held(1, 1) > 1.5 * Held(1, 0));
  CHECK(Held(1, 2) > Held(1, 1));
  DOUBLES_EQUAL(HoldOptions{}.most, Held(0, 5), kExact);
}

TEST(HoldAhead, a_single_crash_changes_little) {
  CHECK(Held(1.0 / 6, 0) > 0.75);
}

TEST(HoldAhead, recent_events_outweigh_a_long_history) {
  // A fleet with many losses in its first weeks must not hold almost nothing
  // for years if its VMs are reliable by now and its store is not.
  OwnPast past;
  for (int i = 0; i < 100; ++i) {
    past.OnLoss(1);
  }
  for (int i = 0; i < 40; ++i) {
    past.OnOutage(1);
  }
  CHECK(HoldFactor(HoldOptions{}, past.own()) > 0.9);
}

TEST(HoldAhead, an_event_counts_at_most_once_for_the_whole_fleet) {
  OwnPast past;
  past.OnLoss(50);
  past.OnOutage(-3);
  DOUBLES_EQUAL(1, past.own().losses, kExact);
  DOUBLES_EQUAL(0, past.own().outages, kExact);
}
