// What a book does with losses and outages before its start. Callers were
// refused for the rest of the day after all routers had lost power a few times:
// each start held as much ahead as the first one, so each loss took a third of
// what was left. Now a start knows from the records what was lost before it.
#include <CppUTest/TestHarness.h>

#include <limits>  // numeric_limits

#include "coppervalve/entry/allotment_book.h"
#include "coppervalve/entry/beat_reader.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::AccountId kGate("gate");
constexpr int64_t kTotal = 1'000'000;
constexpr double kBeat = 0.5;  // seconds

/// A fleet of one router that loses its power again and again: its last record
/// is all that a start knows.
struct OneRouter {
  AllotmentBook book{BookOptions{}};
  v1::RouterBeat last;
  double now = 0;
  uint64_t epoch = 0;

  void Start() {
    book = AllotmentBook(BookOptions{});
    book.OnConfiguration(Prepaid(kTotal));
    book.OnPredecessor(last);
    ++epoch;
  }
  void Beat() {
    v1::RouterBeat beat;
    beat.set_epoch(epoch);
    beat.set_sequence(last.epoch() == epoch ? last.sequence() + 1 : 1);
    book.WriteClaims(beat, ClaimContext{}, At(now));
    last = beat;
    book.OnWritten(beat.sequence(), At(now));
    book.OnOwnBeat(beat);
    now += kBeat;
  }
  int64_t HeldAhead() {
    const auto figures = book.FiguresOf(kGate);
    return (figures.ceiling - figures.spent).value();
  }
  int64_t Left() {
    const auto figures = book.FiguresOf(kGate);
    return (*figures.total - figures.others - figures.spent).value();
  }
  /// Requests of a steady load, served while tokens last.
  void Serve(double seconds, int64_t a_second) {
    const double until = now + seconds;
    const auto each = core::Tokens(
        static_cast<int64_t>(static_cast<double>(a_second) * kBeat));
    while (now < until) {
      book.OnDemand(kGate, each, At(now));
      if (book.Reserve(kGate, each, At(now)) == Reservation::kHeld) {
        book.Settle(kGate, each, each, At(now));
      }
      Beat();
    }
  }
};

}  // namespace

// clang-format off
TEST_GROUP(Past) {
  OneRouter router;
  void setup() override { router.Start(); router.Beat(); }
};
// clang-format on

TEST(Past, a_second_loss_takes_a_much_smaller_part_than_the_first) {
  const double first = static_cast<double>(router.HeldAhead()) /
                       static_cast<double>(router.Left());
  router.Start();
  router.Beat();
  const double second = static_cast<double>(router.HeldAhead()) /
                        static_cast<double>(router.Left());
  CHECK(first > 0.3);
  CHECK(second < first / 3);
}

TEST(Past, after_any_number_of_losses_a_third_can_still_be_spent) {
  // The bound that the design states: losses of all power without anything
  // between them, which is the worst case, as nothing speaks for holding more.
  for (int loss = 1; loss <= 10; ++loss) {
    router.Start();
    router.Beat();
    CHECK(router.Left() > kTotal / 3);
  }
}

TEST(Past, service_goes_on_after_a_series_of_losses) {
  constexpr int64_t kLoad = 10'000;  // tokens a second
  for (int loss = 0; loss < 5; ++loss) {
    router.Serve(8, kLoad);
    router.Start();
    router.Beat();
  }
  const int64_t before = router.book.FiguresOf(kGate).spent.value();
  router.Serve(4, kLoad);
  CHECK(router.book.FiguresOf(kGate).spent.value() - before > 3 * kLoad);
}

TEST(Past, an_outage_that_claims_carried_speaks_for_holding_more) {
  router.Start();
  router.Beat();
  const double before = router.book.HoldFactor();
  router.now += 8;  // the store acknowledged nothing for so long
  router.Beat();
  router.Beat();
  CHECK(router.book.HoldFactor() > before * 1.5);
  DOUBLES_EQUAL(1, router.last.outages(), 1e-9);
}

TEST(Past, what_was_lived_through_outlives_a_start) {
  router.Start();
  router.Beat();
  const double losses = router.last.losses();
  CHECK(losses > 0.8);
  router.Start();
  router.Beat();
  CHECK(router.last.losses() > losses);
}

TEST(Past, the_past_of_other_routers_counts_too) {
  v1::RouterBeat other;
  other.set_losses(1);
  router.book.OnOtherBeat(core::RouterId("router-2"), other, At(0));
  router.Beat();
  CHECK(router.book.HoldFactor() < 0.3);
  // It is theirs to tell: told by both, it would count twice.
  DOUBLES_EQUAL(0, router.last.losses(), 1e-9);
}

TEST(Past, a_start_that_proves_its_predecessor_harmless_counts_little) {
  v1::RouterBeat before = router.last;
  before.mutable_claims(0)->set_reserve(before.claims(0).ceiling());
  AllotmentBook successor{BookOptions{}};
  successor.OnConfiguration(Prepaid(kTotal));
  successor.OnPredecessor(before, true);
  v1::RouterBeat beat;
  successor.WriteClaims(beat, ClaimContext{}, At(1));
  DOUBLES_EQUAL(0, beat.losses(), 1e-9);
}

TEST(Past, a_loss_is_counted_once_the_totals_are_known) {
  // The record of the start before is read before the configuration.
  AllotmentBook successor{BookOptions{}};
  successor.OnPredecessor(router.last);
  v1::RouterBeat beat;
  successor.WriteClaims(beat, ClaimContext{}, At(1));
  DOUBLES_EQUAL(0, beat.losses(), 1e-9);
  successor.OnConfiguration(Prepaid(kTotal));
  successor.WriteClaims(beat, ClaimContext{}, At(2));
  CHECK(beat.losses() > 0.8);
  const double once = beat.losses();
  successor.WriteClaims(beat, ClaimContext{}, At(3));
  DOUBLES_EQUAL(once, beat.losses(), 1e-9);
}

TEST(Past, a_router_that_writes_seldom_holds_what_comes_until_it_is_read) {
  for (int loss = 0; loss < 10; ++loss) {
    router.Start();
    router.Beat();
  }
  const double often = router.book.HoldFactor();
  ClaimContext seldom;
  seldom.period = core::Duration(3'000'000);
  v1::RouterBeat beat;
  router.book.WriteClaims(beat, seldom, At(router.now));
  CHECK(router.book.HoldFactor() > 3 * often);
}

TEST(Past, a_past_that_cannot_be_is_no_beat) {
  for (const double losses :
       {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
    v1::RouterBeat beat;
    beat.set_losses(losses);
    CHECK_FALSE(core::IsOk(ReadBeat(beat.SerializeAsString())));
  }
}
