// How the ledger uses losses and outages before its start. Guards against
// refusing callers for the rest of the day after several power failures of all
// routers: when each incarnation held as many tokens ahead as the first one,
// each loss took a third of the remaining tokens. An incarnation now learns of
// earlier losses from the records.
#include <CppUTest/TestHarness.h>

#include <limits>  // numeric_limits

#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/heartbeat_parser.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::AccountId kGate("gate");
constexpr int64_t kTotal = 1'000'000;
constexpr double kHeartbeatPeriod = 0.5;  // seconds

/// A fleet of one router that loses power repeatedly. The last record is all
/// that a new incarnation has of the previous ones.
struct OneRouter {
  AllocationLedger book{AllocationOptions{}};
  v1::RouterBeat last;
  double now = 0;
  uint64_t epoch = 0;

  void Start() {
    book = AllocationLedger(AllocationOptions{});
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
    book.OnAcknowledged(beat.sequence(), At(now));
    book.OnOwnHeartbeat(beat);
    now += kHeartbeatPeriod;
  }
  int64_t HeldAhead() {
    const auto figures = book.FiguresOf(kGate);
    return (figures.ceiling - figures.spent).value();
  }
  int64_t Left() {
    const auto figures = book.FiguresOf(kGate);
    return (*figures.total - figures.others - figures.spent).value();
  }
  /// Sends requests at a steady rate; they are served while tokens last.
  void Serve(double seconds, int64_t per_second) {
    const double until = now + seconds;
    const auto each = core::Tokens(static_cast<int64_t>(
        static_cast<double>(per_second) * kHeartbeatPeriod));
    while (now < until) {
      book.OnDemand(kGate, each, At(now));
      if (book.Reserve(kGate, each, At(now)) == ReserveResult::kReserved) {
        book.Settle(kGate, each, each, At(now));
      }
      Beat();
    }
  }
};

}  // namespace

// clang-format off
TEST_GROUP(AllocationHistory) {
  OneRouter router;
  void setup() override { router.Start(); router.Beat(); }
};
// clang-format on

TEST(AllocationHistory,
     a_second_loss_takes_a_much_smaller_part_than_the_first) {
  const double first = static_cast<double>(router.HeldAhead()) /
                       static_cast<double>(router.Left());
  router.Start();
  router.Beat();
  const double second = static_cast<double>(router.HeldAhead()) /
                        static_cast<double>(router.Left());
  CHECK(first > 0.3);
  CHECK(second < first / 3);
}

TEST(AllocationHistory, after_any_number_of_losses_a_third_remains_spendable) {
  // The bound stated in the design. Power failures of all routers with nothing
  // in between are the worst case, as no outage raises the hold factor.
  for (int loss = 1; loss <= 10; ++loss) {
    router.Start();
    router.Beat();
    CHECK(router.Left() > kTotal / 3);
  }
}

TEST(AllocationHistory, service_goes_on_after_a_series_of_losses) {
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

TEST(AllocationHistory, an_outage_raises_the_hold_factor) {
  router.Start();
  router.Beat();
  const double before = router.book.HoldFactor();
  router.now += 8;  // no acknowledgment from the store for 8 s
  router.Beat();
  router.Beat();
  CHECK(router.book.HoldFactor() > before * 1.5);
  DOUBLES_EQUAL(1, router.last.outages(), 1e-9);
}

TEST(AllocationHistory, history_is_kept_across_restarts) {
  router.Start();
  router.Beat();
  const double losses = router.last.losses();
  CHECK(losses > 0.8);
  router.Start();
  router.Beat();
  CHECK(router.last.losses() > losses);
}

TEST(AllocationHistory, the_history_of_other_routers_counts) {
  v1::RouterBeat other;
  other.set_losses(1);
  router.book.OnPeerHeartbeat(core::RouterId("router-2"), other, At(0));
  router.Beat();
  CHECK(router.book.HoldFactor() < 0.3);
  // Only the other router reports it; reported by both, it would count twice.
  DOUBLES_EQUAL(0, router.last.losses(), 1e-9);
}

TEST(AllocationHistory, a_reserve_that_was_provably_not_spent_is_no_loss) {
  v1::RouterBeat before = router.last;
  before.mutable_claims(0)->set_reserve(before.claims(0).ceiling());
  AllocationLedger successor{AllocationOptions{}};
  successor.OnConfiguration(Prepaid(kTotal));
  successor.OnPredecessor(before, true);
  v1::RouterBeat beat;
  successor.WriteClaims(beat, ClaimContext{}, At(1));
  DOUBLES_EQUAL(0, beat.losses(), 1e-9);
}

TEST(AllocationHistory, a_loss_is_counted_once_the_totals_are_known) {
  // The record of the previous incarnation is read before the configuration.
  AllocationLedger successor{AllocationOptions{}};
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

TEST(AllocationHistory, a_long_claim_period_raises_the_hold_factor) {
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

TEST(AllocationHistory, a_heartbeat_with_an_impossible_history_is_rejected) {
  for (const double losses :
       {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
    v1::RouterBeat beat;
    beat.set_losses(losses);
    CHECK_FALSE(core::IsOk(ParseHeartbeat(beat.SerializeAsString())));
  }
}
