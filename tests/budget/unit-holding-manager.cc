#include <CppUTest/TestHarness.h>

#include "holding_manager_fixture.h"

using namespace coppervalve;
using namespace coppervalve::budget;
using core::ErrorId;
using core::Tokens;

// clang-format off
TEST_GROUP(HoldingManager){};
// clang-format on

// A caller would get work done that nobody paid for: the repeated append of one
// entry stands twice in the log, its effect arrives twice, and tokens granted
// once would be spent twice.
TEST(HoldingManager, counts_a_grant_once_that_is_folded_twice) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.book().OnGranted(f.now(), f.budget(), Tokens(1000), core::Sequence(1));
  LONGS_EQUAL(1000, f.Held());
  f.Reserve(5000);
  f.Records();
  f.book().OnGranted(f.now(), f.budget(), Tokens(1000), core::Sequence(1));
  LONGS_EQUAL(1000, f.Held());
}

// The engine's answer and a timeout both end one attempt. Settled twice, the
// account pays twice; cancelled after settling, spent tokens come back.
TEST(HoldingManager, settles_or_cancels_a_reservation_once) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(400);
  CHECK(f.book()
            .Settle(f.now(), reservation, Tokens(300), Unkeyed{})
            .has_value());
  CHECK_FALSE(f.book().Settle(f.now(), reservation, Tokens(300), Unkeyed{}));
  CHECK_FALSE(f.book().Cancel(f.now(), reservation));
  LONGS_EQUAL(700, f.Held());
}

// A stream is cut and nothing is known of its usage: the caller of Settle
// passes the whole bound, and none of it may be reserved again.
TEST(HoldingManager, keeps_the_whole_bound_of_a_cut_stream_as_spent) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(800);
  f.book().Settle(f.now(), reservation, reservation.bound, Unkeyed{});
  CHECK_FALSE(f.TryReserve(201));
  CHECK(f.TryReserve(200).has_value());
}

// An engine runs past the maximum that it was given. Charged in full, the
// holding goes below zero, and the fold refuses the router's reports.
TEST(HoldingManager,
     charges_an_excess_up_to_what_is_held_and_reports_the_rest) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(100);
  const auto settled =
      f.book().Settle(f.now(), reservation, Tokens(1500), Unkeyed{});
  CHECK(settled->charged == Tokens(1000));
  CHECK(settled->uncovered == Tokens(500));
  CHECK(core::IsOk(f.book().CheckInvariants()));
}

// Callers would be refused although the budget has tokens: near exhaustion all
// is reserved by upper bounds, and most of it comes back within seconds.
TEST(HoldingManager,
     lets_requests_wait_while_reservations_may_settle_for_less) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.SetBalance(0, 1000);
  const Reservation reservation = *f.TryReserve(900);
  CHECK(f.Waits(500, WaitReason::kSettlement));
  CHECK(f.Refuses(1001, ErrorId::kBudgetExhausted));
  f.book().Settle(f.now(), reservation, Tokens(200), Unkeyed{});
  LONGS_EQUAL(1, f.book().TakeWokenBudgets().size());
  CHECK(f.TryReserve(500).has_value());
}

// Other routers hold tokens they will return or transfer; refusing then would
// be a false refusal. With nothing anywhere, waiting would only hold the queue.
TEST(HoldingManager, refuses_only_when_the_whole_fleet_has_too_little) {
  HoldingManagerFixture f;
  f.SetBalance(0, 1000, 300);
  CHECK(f.Waits(300, WaitReason::kTransfer));
  CHECK(f.Refuses(301, ErrorId::kBudgetExhausted));
}

TEST(HoldingManager, is_busy_when_the_log_is_out_and_no_peer_has_spares) {
  HoldingManagerFixture f;
  f.book().OnLogState(true);
  CHECK(f.Refuses(100, ErrorId::kBudgetBusy));
  v1::Spare spare;
  spare.set_budget(f.budget().value());
  spare.set_tokens(500);
  f.book().OnPeerSpares(f.now(), Peer(2), {spare});
  CHECK(f.Waits(100, WaitReason::kTransfer));
  const auto asks = f.book().TakeTransferAsks(f.now());
  LONGS_EQUAL(1, asks.size());
  CHECK(asks[0].to == Peer(2));
}

// A gate scanner waits; the held-back share is granted for it. Without the mark
// a batch request that retries first would take these tokens.
TEST(HoldingManager, keeps_tokens_granted_for_gate_work_from_other_classes) {
  HoldingManagerFixture f;
  f.SetBalance(1000, 1000);
  f.HoldBackForGate(1000);
  f.Reserve(400, v1::GATE);
  const auto records = f.Records();
  CHECK(records.at(0).allotment_requested().admission_class() == v1::GATE);
  f.book().OnGranted(f.now(), f.budget(), Tokens(400), core::Sequence(1));
  CHECK_FALSE(f.TryReserve(400));
  const ReserveResult gate = f.Reserve(400, v1::GATE);
  CHECK(std::holds_alternative<Reservation>(gate));
}

// Between the decision to return and the folded record a request arrives. Were
// the tokens still spendable, two routers would spend them.
TEST(HoldingManager, debits_a_return_before_its_record_exists) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.book().StartDrain(f.now());
  const auto records = f.Records();
  LONGS_EQUAL(1000, records.at(0).allotment_returned().tokens());
  LONGS_EQUAL(0, f.Held());
  CHECK_FALSE(f.TryReserve(1));
}

TEST(HoldingManager,
     returns_what_an_idle_budget_holds_when_the_balance_is_low) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.SetBalance(10, 1'000'000);
  f.Advance(5'001);
  f.book().OnBalanceChanged(f.now(), f.budget());
  LONGS_EQUAL(0, f.Held());
  LONGS_EQUAL(1000, f.Records().at(0).allotment_returned().tokens());
}

// At the end of a budget each router holds less than its next request needs.
// Kept, these fragments add up to work that is refused though it was paid for.
TEST(HoldingManager, returns_a_fragment_that_no_waiting_request_can_use) {
  HoldingManagerFixture f;
  f.Grant(100);
  f.SetBalance(50, 1'000'000, 300);
  CHECK(f.Waits(200, WaitReason::kTransfer));
  LONGS_EQUAL(100, f.Records().at(0).allotment_returned().tokens());
}

// The log goes out and a router dies; its callers come to one that never saw
// their budget. Without tokens of its own it would refuse them all.
TEST(HoldingManager, holds_budgets_that_others_use_on_standby) {
  HoldingManagerFixture f;
  f.book().OnBalanceChanged(f.now(), f.budget());
  CHECK(f.Records().empty());
  f.SetBalance(900'000, 1'000'000, 100'000);
  f.book().OnBalanceChanged(f.now(), f.budget());
  LONGS_EQUAL(100'000, f.Records().at(0).allotment_requested().tokens());
}

// A drain lets queued requests finish. They may still draw on the log, but not
// for the minutes ahead that a staying router holds.
TEST(HoldingManager, asks_while_draining_for_no_more_than_what_waits) {
  HoldingManagerFixture f;
  f.book().StartDrain(f.now());
  CHECK(f.Waits(300, WaitReason::kGrant));
  LONGS_EQUAL(300, f.Records().at(0).allotment_requested().tokens());
}

// The log retires a router whose reports are still on their way: they are not
// folded. Bills missing from the final report would be billed again elsewhere.
TEST(HoldingManager, repeats_unfolded_bills_in_the_final_report) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation first = *f.TryReserve(100);
  const Reservation second = *f.TryReserve(100);
  const Bill bill{core::HashOf("key"), core::AccountId("parks")};
  f.book().Settle(f.now(), first, Tokens(60), bill);
  f.Advance(1'000);
  LONGS_EQUAL(60, f.ReportedSpend());
  f.book().OnRetired(f.now());
  CHECK(f.Records().empty());
  f.book().Settle(f.now(), second, Tokens(40), Unkeyed{});
  const auto records = f.Records();
  const v1::FinalSpend& last = records.at(0).spend_finalized().budgets(0);
  LONGS_EQUAL(100, last.spent());
  LONGS_EQUAL(1, last.bills_size());
  CHECK(f.Records().empty());
  CHECK(f.Refuses(1, ErrorId::kRetiredInLog));
}

TEST(HoldingManager,
     reports_spending_at_most_once_a_second_for_all_settlements) {
  HoldingManagerFixture f;
  f.Grant(1000);
  for (int i = 0; i < 10; ++i) {
    f.book().Settle(f.now(), *f.TryReserve(10), Tokens(10), Unkeyed{});
  }
  f.Advance(1'000);
  LONGS_EQUAL(100, f.ReportedSpend());
  f.book().Settle(f.now(), *f.TryReserve(10), Tokens(10), Unkeyed{});
  f.Advance(500);
  LONGS_EQUAL(-1, f.ReportedSpend());
  f.Advance(500);
  LONGS_EQUAL(110, f.ReportedSpend());
}
