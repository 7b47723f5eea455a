#include <CppUTest/TestHarness.h>

#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

// clang-format off
TEST_GROUP(Quarantine){};
// clang-format on

TEST(Quarantine, the_witness_releases_tokens_above_the_ceiling) {
  Fleet log;
  log.RetireFirstRouter();
  const auto effects = log.Write(log.r2, NarrowQuarantine(log.r1, 60));
  LONGS_EQUAL(40, Find<QuarantineChanged>(effects)->released.value());
  LONGS_EQUAL(30, Find<QuarantineChanged>(effects)->remaining.value());
  LONGS_EQUAL(940, log.Free());
}

TEST(Quarantine, a_ceiling_below_the_reported_spend_releases_only_the_rest) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.r2, NarrowQuarantine(log.r1, 10));
  LONGS_EQUAL(970, log.Free());
  LONGS_EQUAL(0, log.Quarantined());
  CHECK(log.holding(log.r1).ceiling == core::Tokens(30));
}

// r1 replaced its witness r2 by r3, which acknowledged a higher ceiling. r2 has
// not read that yet and reports its old, lower ceiling after r1 became silent.
// Accepting it would release tokens that r1 may have committed.
TEST(Quarantine, a_witness_that_is_not_in_force_releases_nothing) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  log.Write(log.r1, ChooseWitness(log.r2));
  log.Write(log.r1, ChooseWitness(log.r3));
  CHECK(Ignored(log.Write(log.r3, NarrowQuarantine(log.r1, 10)),
                IgnoreReason::kNotWitness));
  log.Write(log.r3, Retire(log.r1, log.r1.sequence));
  CHECK(Ignored(log.Write(log.r2, NarrowQuarantine(log.r1, 10)),
                IgnoreReason::kNotWitness));
  LONGS_EQUAL(100, log.Quarantined());
  log.Write(log.r3, NarrowQuarantine(log.r1, 80));
  LONGS_EQUAL(80, log.Quarantined());
}

// The witness restarts under a new incarnation. It has lost the ceilings that
// it acknowledged, so its report must not count.
TEST(Quarantine, a_restarted_witness_releases_nothing) {
  Fleet log;
  log.RetireFirstRouter();
  Writer again{"r2", 102};
  log.Write(again, Join());
  CHECK(Ignored(log.Write(again, NarrowQuarantine(log.r1, 0)),
                IgnoreReason::kNotWitness));
}

TEST(Quarantine, a_strict_budget_ignores_the_witness) {
  Fleet log(v1::OPERATOR_ONLY);
  log.RetireFirstRouter();
  CHECK(Ignored(log.Write(log.r2, NarrowQuarantine(log.r1, 60)),
                IgnoreReason::kReleasePolicy));
  LONGS_EQUAL(70, log.Quarantined());
  log.Write(log.r1, FinalizeSpend(log.r1, 45));
  LONGS_EQUAL(955, log.Free());
}

// The witness narrows a paused router's quarantine. The router resumes,
// finishes its work within the ceiling and reports its final spend. All unspent
// tokens must be back in the balance, none of them twice.
TEST(Quarantine, a_final_report_after_narrowing_releases_the_rest_once) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.r2, NarrowQuarantine(log.r1, 60));
  const v1::Entry final_report = log.Draft(log.r1, {FinalizeSpend(log.r1, 50)});
  const auto effects = log.Append(final_report);
  LONGS_EQUAL(10, Find<QuarantineChanged>(effects)->released.value());
  log.Append(final_report);
  log.Write(log.r2, NarrowQuarantine(log.r1, 90));
  LONGS_EQUAL(950, log.Free());
  LONGS_EQUAL(50, log.budget().billed.value());
  LONGS_EQUAL(0, log.Quarantined());
}

TEST(Quarantine, only_the_retired_router_itself_finalizes_its_spend) {
  Fleet log;
  log.RetireFirstRouter();
  CHECK(Ignored(log.Write(log.r2, FinalizeSpend(log.r1, 0)),
                IgnoreReason::kNotAllowed));
  CHECK(Ignored(log.Write(log.r2, FinalizeSpend(log.r2, 0)),
                IgnoreReason::kNotAllowed));
  LONGS_EQUAL(70, log.Quarantined());
}

// Both sides record a transfer, in either order, and one of them twice. The
// tokens must move once.
TEST(Quarantine, a_transfer_recorded_by_both_sides_moves_once) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  const v1::Record transfer = Transfer(log.r1, log.r2, 7, 40);
  CHECK(Find<TransferApplied>(log.Write(log.r2, transfer)) != nullptr);
  CHECK(Ignored(log.Write(log.r1, transfer), IgnoreReason::kDuplicate));
  CHECK(Ignored(log.Write(log.r3, transfer), IgnoreReason::kNotAllowed));
  LONGS_EQUAL(60, log.holding(log.r1).held().value());
  LONGS_EQUAL(40, log.holding(log.r2).held().value());
  log.Write(log.r2, Spend(40));
}

// A copy of a transfer record is delayed past the dedup window, so that its id
// is no longer stored. Applying it again would move tokens that r1 still
// spends.
TEST(Quarantine, a_transfer_record_after_the_window_moves_nothing) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  const v1::Entry late = log.Draft(log.r1, {Transfer(log.r1, log.r2, 7, 40)});
  log.Write(log.r2, Transfer(log.r1, log.r2, 7, 40));
  log.SkipOffsets(kTestWindow + 1);
  CHECK(Ignored(log.Append(late), IgnoreReason::kStale));
  LONGS_EQUAL(60, log.holding(log.r1).held().value());
}

// r1 sends 40 to r2 and fails before either side has recorded the transfer. The
// witness's ceiling includes the 40, so they are still held when r2 records
// them.
TEST(Quarantine, a_transfer_recorded_after_narrowing_is_covered) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.r2, NarrowQuarantine(log.r1, 70));
  log.Write(log.r2, Transfer(log.r1, log.r2, 7, 40));
  LONGS_EQUAL(40, log.holding(log.r2).held().value());
  LONGS_EQUAL(0, log.Quarantined());
  LONGS_EQUAL(930, log.Free());
}

TEST(Quarantine, a_pending_transfer_stays_held_after_the_final_report) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.r1, FinalizeSpend(log.r1, 35, 40));
  LONGS_EQUAL(925, log.Free());
  log.Write(log.r2, Transfer(log.r1, log.r2, 7, 40));
  LONGS_EQUAL(0, log.Quarantined());
}

TEST(Quarantine, tokens_sent_to_a_narrowed_router_are_released_at_once) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.r2, NarrowQuarantine(log.r1, 60));
  log.Write(log.r3, RequestAllotment(100));
  log.Write(log.r3, Transfer(log.r3, log.r1, 9, 25));
  LONGS_EQUAL(30, log.Quarantined());
  LONGS_EQUAL(865, log.Free());
  // A later report may lower the ceiling, but never raise it.
  log.Write(log.r2, NarrowQuarantine(log.r1, 90));
  log.Write(log.r3, Transfer(log.r3, log.r1, 10, 25));
  LONGS_EQUAL(30, log.Quarantined());
}

// r1 sent 40 to r2 and was retired. An operator released its quarantine and r3
// was granted all of it before r2 recorded the transfer. Nothing covers it any
// more: the record is ignored and the balance stays the same.
TEST(Quarantine, a_transfer_that_nothing_covers_any_more_is_refused) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.alice, Release(log.r1, 70));
  log.Write(log.r3, RequestAllotment(960));
  CHECK(Ignored(log.Write(log.r2, Transfer(log.r1, log.r2, 7, 40)),
                IgnoreReason::kExceedsHolding));
  LONGS_EQUAL(0, log.Free());
}

TEST(Quarantine, a_repeated_release_by_an_operator_is_applied_once) {
  Fleet log;
  log.RetireFirstRouter();
  const v1::Entry release = log.Draft(log.alice, {Release(log.r1, 30)});
  log.Append(release);
  CHECK(Ignored(log.Append(release), IgnoreReason::kDuplicate));
  LONGS_EQUAL(40, log.Quarantined());
  log.Write(log.alice, Release(log.r1, 1000));
  LONGS_EQUAL(0, log.Quarantined());
  log.SkipOffsets(kTestWindow + 1);
  CHECK(Ignored(log.Append(release), IgnoreReason::kUnknownRouter));
  LONGS_EQUAL(970, log.Free());
}

// An operator releases tokens that a paused router had spent. When the router
// reports them, the balance must give them up again instead of counting them as
// free.
TEST(Quarantine, a_final_report_reclaims_tokens_released_too_early) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.alice, Release(log.r1, 70));
  const auto effects = log.Write(log.r1, FinalizeSpend(log.r1, 80));
  LONGS_EQUAL(-50, Find<QuarantineChanged>(effects)->released.value());
  LONGS_EQUAL(920, log.Free());
  LONGS_EQUAL(80, log.budget().billed.value());
}

// As before, but other routers were granted the released tokens, so the budget
// is overspent. No valid state can result, so the fold stops with an error.
TEST(Quarantine, an_overspent_release_stops_the_fold) {
  Fleet log;
  log.RetireFirstRouter();
  log.Write(log.alice, Release(log.r1, 70));
  log.Write(log.r2, RequestAllotment(1000));
  const auto result = log.Try(log.Draft(log.r1, {FinalizeSpend(log.r1, 80)}));
  CHECK(core::Failure(result).id == core::ErrorId::kConservationBroken);
}
