#include <CppUTest/TestHarness.h>

#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

// clang-format off
TEST_GROUP(Spending){};
// clang-format on

TEST(Spending, a_cumulative_report_replaces_the_one_before) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  log.Write(log.r1, Spend(30));
  log.Write(log.r1, Spend(70));
  LONGS_EQUAL(30, log.holding(log.r1).held().value());
  LONGS_EQUAL(70, log.budget().billed.value());
  CHECK(Ignored(log.Write(log.r1, Spend(69)), IgnoreReason::kSpendNotMonotone));
}

// A caller's router is cut off after running a request, and the caller's retry
// of the same key runs at another router. Both routers report a bill: the
// account pays for the first in log order, and the second is written off.
TEST(Spending, a_key_billed_by_two_routers_is_paid_once) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  log.Write(log.r2, RequestAllotment(100));
  const auto first = log.Write(log.r1, Spend(40, {{"k", 40}}));
  LONGS_EQUAL(40, Find<Billed>(first)->tokens.value());
  const auto second = log.Write(log.r2, Spend(55, {{"k", 50}}));
  LONGS_EQUAL(50, Find<BillWrittenOff>(second)->tokens.value());
  LONGS_EQUAL(45, log.budget().billed.value());
  LONGS_EQUAL(50, log.budget().written_off.value());
  CHECK(log.fold().IsBilled(core::HashOf("k")));
}

// An attempt is aborted and another one answers the caller. Both used tokens,
// so both are spent, but only the answer is billed. Billing the first as well
// would charge the request twice.
TEST(Spending, an_abandoned_attempt_is_spent_but_not_billed) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(200));
  v1::Record report = Spend(90, {{"k", 50}});
  report.mutable_spend_reported()->set_written_off(40);
  log.Write(log.r1, report);
  LONGS_EQUAL(50, log.budget().billed.value());
  LONGS_EQUAL(40, log.budget().written_off.value());
  report.mutable_spend_reported()->set_written_off(30);
  CHECK(Ignored(log.Write(log.r1, report), IgnoreReason::kSpendNotMonotone));
}

TEST(Spending, bills_above_the_reported_spend_are_reduced_to_it) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  log.Write(log.r1, Spend(10, {{"k", 40}, {"l", 5}}));
  LONGS_EQUAL(10, log.budget().billed.value());
}

// A router that spends more than it holds violates the bound that all balances
// depend on. The fold stops instead of letting other routers spend the same
// tokens again.
TEST(Spending, a_spend_above_the_holding_stops_the_fold_permanently) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  const auto result = log.Try(log.Draft(log.r1, {Spend(101)}));
  CHECK(core::Failure(result).id == core::ErrorId::kConservationBroken);
  CHECK(core::Failure(log.Try({})).id == core::ErrorId::kConservationBroken);
}

TEST(Spending, the_first_claim_of_a_key_in_log_order_wins) {
  Fleet log;
  CHECK(Find<ClaimWon>(log.Write(log.r1, ClaimKey("seat"))) != nullptr);
  const auto lost = log.Write(log.r2, ClaimKey("seat"));
  CHECK(Find<ClaimLost>(lost)->owner == core::RouterId("r1"));
  CHECK(log.fold().FindClaim(core::HashOf("seat"))->incarnation ==
        core::Incarnation(1));
}

// r1's claim is delayed beyond the window. Meanwhile r2 won the key, ran the
// request, and its claim expired. r1 must not win the key now.
TEST(Spending, a_claim_that_arrives_after_the_window_is_lost) {
  Fleet log;
  const v1::Entry late = log.Draft(log.r1, {ClaimKey("seat")});
  log.Write(log.r2, ClaimKey("seat"));
  log.SkipOffsets(kTestWindow + 1);
  CHECK(log.fold().FindClaim(core::HashOf("seat")) == nullptr);
  const auto effects = log.Append(late);
  CHECK(Find<ClaimLost>(effects)->owner.empty());
}

TEST(Spending, a_malformed_key_is_neither_claimed_nor_billed) {
  Fleet log;
  v1::Record record;
  record.mutable_key_claimed()->set_key_hash("short");
  CHECK(Ignored(log.Write(log.r1, record), IgnoreReason::kInvalid));
}
