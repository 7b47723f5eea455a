#include "coppervalve/entry/hold_factor.h"

#include <CppUTest/TestHarness.h>

using namespace coppervalve::entry;

namespace {

constexpr double kExact = 1e-9;

double FactorAfter(double losses, double outages) {
  return HoldFactor(HoldOptions{}, {losses, outages});
}

}  // namespace

// clang-format off
TEST_GROUP(HoldFactorOfFleet) {};
// clang-format on

TEST(HoldFactorOfFleet, the_factor_is_one_without_history) {
  DOUBLES_EQUAL(1, FactorAfter(0, 0), kExact);
}

TEST(HoldFactorOfFleet, each_loss_lowers_the_factor_down_to_its_minimum) {
  CHECK(FactorAfter(1, 0) < 0.3);
  CHECK(FactorAfter(2, 0) < FactorAfter(1, 0));
  DOUBLES_EQUAL(HoldOptions{}.least, FactorAfter(100, 0), kExact);
}

TEST(HoldFactorOfFleet, outages_raise_the_factor_up_to_its_maximum) {
  CHECK(FactorAfter(1, 1) > 1.5 * FactorAfter(1, 0));
  CHECK(FactorAfter(1, 2) > FactorAfter(1, 1));
  DOUBLES_EQUAL(HoldOptions{}.most, FactorAfter(0, 5), kExact);
}

TEST(HoldFactorOfFleet, a_single_crash_changes_little) {
  CHECK(FactorAfter(1.0 / 6, 0) > 0.75);
}

TEST(HoldFactorOfFleet, recent_events_outweigh_a_long_history) {
  // A fleet with many losses in its first weeks must not hold almost nothing
  // for years if its VMs are reliable by now and its store is not.
  RouterHistory history;
  for (int i = 0; i < 100; ++i) {
    history.OnLoss(1);
  }
  for (int i = 0; i < 40; ++i) {
    history.OnOutage(1);
  }
  CHECK(HoldFactor(HoldOptions{}, history.own()) > 0.9);
}

TEST(HoldFactorOfFleet, an_event_counts_at_most_once_for_the_whole_fleet) {
  RouterHistory history;
  history.OnLoss(50);
  history.OnOutage(-3);
  DOUBLES_EQUAL(1, history.own().losses, kExact);
  DOUBLES_EQUAL(0, history.own().outages, kExact);
}
