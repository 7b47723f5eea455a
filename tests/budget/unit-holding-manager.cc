#include <CppUTest/TestHarness.h>

#include "holding_manager_fixture.h"

using namespace coppervalve;
using namespace coppervalve::budget;
using core::ErrorId;
using core::Tokens;

// clang-format off
TEST_GROUP(HoldingManager){};
// clang-format on

// A repeated append puts the same entry into the log twice, so its grant is
// delivered twice. If it counted twice, callers would spend tokens that nobody
// paid for.
TEST(HoldingManager, counts_a_repeated_grant_once) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.holdings().OnGranted(f.now(), f.budget(), Tokens(1000), core::Sequence(1));
  LONGS_EQUAL(1000, f.Held());
  f.Reserve(5000);
  f.Records();
  f.holdings().OnGranted(f.now(), f.budget(), Tokens(1000), core::Sequence(1));
  LONGS_EQUAL(1000, f.Held());
}

// The engine's answer and a timeout can both end one attempt. Settling twice
// would charge the account twice; cancelling after settling would release spent
// tokens.
TEST(HoldingManager, settles_or_cancels_a_reservation_once) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(400);
  CHECK(f.holdings()
            .Settle(f.now(), reservation, Tokens(300), Unkeyed{})
            .has_value());
  CHECK_FALSE(
      f.holdings().Settle(f.now(), reservation, Tokens(300), Unkeyed{}));
  CHECK_FALSE(f.holdings().Cancel(f.now(), reservation));
  LONGS_EQUAL(700, f.Held());
}

// The usage of a stream that is cut off is unknown, so the caller settles the
// whole bound. None of it may be reserved again.
TEST(HoldingManager, counts_the_whole_bound_of_a_cut_off_stream_as_spent) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(800);
  f.holdings().Settle(f.now(), reservation, reservation.bound, Unkeyed{});
  CHECK_FALSE(f.TryReserve(201));
  CHECK(f.TryReserve(200).has_value());
}

// An engine exceeds its maximum. If all of it were charged, the holding would
// become negative and the ledger would refuse the reports of this router.
TEST(HoldingManager,
     charges_an_excess_up_to_what_is_held_and_reports_the_rest) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation reservation = *f.TryReserve(100);
  const auto settled =
      f.holdings().Settle(f.now(), reservation, Tokens(1500), Unkeyed{});
  CHECK(settled->charged == Tokens(1000));
  CHECK(settled->uncovered == Tokens(500));
  CHECK(core::IsOk(f.holdings().CheckInvariants()));
}

// Near exhaustion all tokens are reserved by upper bounds, and most are
// released within seconds. Refusing then would be wrong, because the budget has
// tokens.
TEST(HoldingManager,
     lets_requests_wait_while_reservations_may_settle_for_less) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.SetBalance(0, 1000);
  const Reservation reservation = *f.TryReserve(900);
  CHECK(f.Waits(500, WaitReason::kSettlement));
  CHECK(f.Refuses(1001, ErrorId::kBudgetExhausted));
  f.holdings().Settle(f.now(), reservation, Tokens(200), Unkeyed{});
  LONGS_EQUAL(1, f.holdings().TakeWokenBudgets().size());
  CHECK(f.TryReserve(500).has_value());
}

// Other routers hold tokens that they will return or transfer, so refusing
// would be wrong. If there are none anywhere, waiting would only block the
// queue.
TEST(HoldingManager, refuses_only_when_the_whole_fleet_has_too_little) {
  HoldingManagerFixture f;
  f.SetBalance(0, 1000, 300);
  CHECK(f.Waits(300, WaitReason::kTransfer));
  CHECK(f.Refuses(301, ErrorId::kBudgetExhausted));
}

TEST(HoldingManager, is_busy_without_the_log_and_without_peer_offers) {
  HoldingManagerFixture f;
  f.holdings().OnLogState(true);
  CHECK(f.Refuses(100, ErrorId::kBudgetBusy));
  v1::Spare spare;
  spare.set_budget(f.budget().value());
  spare.set_tokens(500);
  f.holdings().OnPeerSpares(f.now(), Peer(2), {spare});
  CHECK(f.Waits(100, WaitReason::kTransfer));
  const auto asks = f.holdings().TakeTransferAsks(f.now());
  LONGS_EQUAL(1, asks.size());
  CHECK(asks[0].to == Peer(2));
}

// The held-back share is granted for a waiting GATE request. Unless it is
// marked as GATE only, a batch request that retries first would take the
// tokens.
TEST(HoldingManager, keeps_tokens_granted_for_gate_work_from_other_classes) {
  HoldingManagerFixture f;
  f.SetBalance(1000, 1000);
  f.HoldBackForGate(1000);
  f.Reserve(400, v1::GATE);
  const auto records = f.Records();
  CHECK(records.at(0).allotment_requested().admission_class() == v1::GATE);
  f.holdings().OnGranted(f.now(), f.budget(), Tokens(400), core::Sequence(1));
  CHECK_FALSE(f.TryReserve(400));
  const ReserveResult gate = f.Reserve(400, v1::GATE);
  CHECK(std::holds_alternative<Reservation>(gate));
}

// A request can arrive between the decision to return tokens and the record
// that is applied. If they could still be spent, two routers would spend them.
TEST(HoldingManager, debits_a_return_before_its_record_exists) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.holdings().StartDrain(f.now());
  const auto records = f.Records();
  LONGS_EQUAL(1000, records.at(0).allotment_returned().tokens());
  LONGS_EQUAL(0, f.Held());
  CHECK_FALSE(f.TryReserve(1));
}

TEST(HoldingManager,
     returns_the_holding_of_an_idle_budget_when_the_balance_is_low) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.SetBalance(10, 1'000'000);
  f.Advance(5'001);
  f.holdings().OnBalanceChanged(f.now(), f.budget());
  LONGS_EQUAL(0, f.Held());
  LONGS_EQUAL(1000, f.Records().at(0).allotment_returned().tokens());
}

// Near the end of a budget each router holds less than its next request needs.
// If kept, these fragments would add up to paid work that is refused.
TEST(HoldingManager, returns_a_fragment_that_no_waiting_request_can_use) {
  HoldingManagerFixture f;
  f.Grant(100);
  f.SetBalance(50, 1'000'000, 300);
  CHECK(f.Waits(200, WaitReason::kTransfer));
  LONGS_EQUAL(100, f.Records().at(0).allotment_returned().tokens());
}

// A router crashes while the log is unavailable, and its callers reach a router
// that has never used their budget. Without tokens of its own, it would refuse
// all of them.
TEST(HoldingManager, requests_a_standby_holding_of_a_budget_that_others_use) {
  HoldingManagerFixture f;
  f.holdings().OnBalanceChanged(f.now(), f.budget());
  CHECK(f.Records().empty());
  f.SetBalance(900'000, 1'000'000, 100'000);
  f.holdings().OnBalanceChanged(f.now(), f.budget());
  LONGS_EQUAL(100'000, f.Records().at(0).allotment_requested().tokens());
}

// Queued requests may finish during a drain. The router may still request
// allotments for them, but not for the minutes ahead that a router normally
// holds.
TEST(HoldingManager,
     requests_no_more_than_waiting_requests_need_while_draining) {
  HoldingManagerFixture f;
  f.holdings().StartDrain(f.now());
  CHECK(f.Waits(300, WaitReason::kGrant));
  LONGS_EQUAL(300, f.Records().at(0).allotment_requested().tokens());
}

// The ledger ignores reports of a router that are still pending when it is
// retired. If its final report left their bills out, they would be billed again
// elsewhere.
TEST(HoldingManager, repeats_unapplied_bills_in_the_final_report) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const Reservation first = *f.TryReserve(100);
  const Reservation second = *f.TryReserve(100);
  const Bill bill{core::HashOf("key"), core::AccountId("parks")};
  f.holdings().Settle(f.now(), first, Tokens(60), bill);
  f.Advance(1'000);
  LONGS_EQUAL(60, f.ReportedSpend());
  f.holdings().OnRetired(f.now());
  CHECK(f.Records().empty());
  f.holdings().Settle(f.now(), second, Tokens(40), Unkeyed{});
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
    f.holdings().Settle(f.now(), *f.TryReserve(10), Tokens(10), Unkeyed{});
  }
  f.Advance(1'000);
  LONGS_EQUAL(100, f.ReportedSpend());
  f.holdings().Settle(f.now(), *f.TryReserve(10), Tokens(10), Unkeyed{});
  f.Advance(500);
  LONGS_EQUAL(-1, f.ReportedSpend());
  f.Advance(500);
  LONGS_EQUAL(110, f.ReportedSpend());
}
