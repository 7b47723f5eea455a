#include <CppUTest/TestHarness.h>

#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

// clang-format off
TEST_GROUP(Balance){};
// clang-format on

TEST(Balance, a_configuration_pays_in_the_growth_of_its_prepaid_amount) {
  TestLog log;
  Writer alice{"operator:alice", 11};
  const auto first = log.Write(alice, Publish(0, 1000, "c1"));
  CHECK(Find<ConfigAccepted>(first)->version == core::ConfigVersion(1));
  const auto second = log.Write(alice, Publish(1, 1500, "c2"));
  LONGS_EQUAL(500, Find<PaidIn>(second)->tokens.value());
  LONGS_EQUAL(1500, log.Free());
  CHECK(log.fold().config_offset() == core::LogOffset(1));
  STRCMP_EQUAL("name-c2", log.fold().config_operator().c_str());
}

TEST(Balance, a_configuration_with_a_lower_prepaid_amount_is_rejected) {
  Fleet log;
  log.Write(log.alice, TopUp(700, "t1"));
  const auto effects = log.Write(log.alice, Publish(1, 900, "c2"));
  CHECK(Find<ConfigRejected>(effects)->reason ==
        ConfigRejection::kPrepaidShrinks);
  CHECK(log.fold().config_version() == core::ConfigVersion(1));
  LONGS_EQUAL(1700, log.Free());
}

TEST(Balance, a_budget_listed_twice_or_past_the_largest_sum_is_rejected) {
  Fleet log;
  v1::Record twice = Publish(1, 1000, "c2");
  auto& budgets = *twice.mutable_config_published()->mutable_configuration();
  *budgets.add_budgets() = budgets.budgets(0);
  CHECK(Find<ConfigRejected>(log.Write(log.alice, twice))->reason ==
        ConfigRejection::kInvalid);
  const auto huge = log.Write(log.alice, Publish(1, INT64_MAX, "c3"));
  CHECK(Find<ConfigRejected>(huge)->reason == ConfigRejection::kInvalid);
}

// Two operators publish at the same time, both based on version 1. The first in
// log order is proposed and comes into force. The other is rejected with the id
// of the first; otherwise a merge that nobody has reviewed would be in force.
TEST(Balance, of_two_operators_at_once_the_first_in_log_order_wins) {
  Fleet log;
  Writer bob{"operator:bob", 12};
  const v1::Entry alices = log.Draft(log.alice, {Publish(1, 1000, "a")});
  const v1::Entry bobs = log.Draft(bob, {Publish(1, 2000, "b")});
  CHECK(Find<ConfigProposed>(log.Append(bobs)) != nullptr);
  const auto effects = log.Append(alices);
  const ConfigRejected* rejected = Find<ConfigRejected>(effects);
  CHECK(rejected->reason == ConfigRejection::kConflict);
  CHECK(rejected->version_in_force == core::ConfigVersion(1));
  STRCMP_EQUAL("name-b", rejected->winner_operator.c_str());
  STRCMP_EQUAL("b", rejected->winner_change_id.c_str());
  const auto read = log.ConfirmReadByAll();
  STRCMP_EQUAL("b", Find<ConfigAccepted>(read)->change_id.c_str());
  CHECK(log.fold().config_version() == core::ConfigVersion(2));
}

// The reply to an append is lost, so the publisher appends the same change
// again. The repetition must not be reported as a conflict.
TEST(Balance, a_repeated_publication_is_a_duplicate_and_no_conflict) {
  Fleet log;
  const auto effects = log.Write(log.alice, Publish(0, 1000, "c1"));
  CHECK(Ignored(effects, IgnoreReason::kDuplicate));
  LONGS_EQUAL(1000, log.Free());
}

TEST(Balance, a_budget_that_leaves_the_configuration_keeps_its_tokens) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  v1::Record without = Publish(1, 0, "c2");
  without.mutable_config_published()->mutable_configuration()->clear_budgets();
  log.Write(log.alice, without);
  CHECK(Find<ConfigAccepted>(log.ConfirmReadByAll()) != nullptr);
  CHECK(Find<Denied>(log.Write(log.r1, RequestAllotment(100))) != nullptr);
  log.Write(log.r1, ReturnAllotment(60));
  LONGS_EQUAL(960, log.Free());
  log.Write(log.alice, Publish(2, 1200, "c3"));
  LONGS_EQUAL(200, Find<PaidIn>(log.ConfirmReadByAll())->tokens.value());
}

// The reply to a top-up is lost and the tool repeats it, once soon and once
// after its id was removed. The account must be paid in once; the late copy
// is refused because of its age.
TEST(Balance, a_repeated_top_up_pays_in_once_however_late_it_comes) {
  Fleet log;
  const v1::Entry entry = log.Draft(log.alice, {TopUp(500, "t1")});
  LONGS_EQUAL(500, Find<PaidIn>(log.Append(entry))->tokens.value());
  CHECK(Find<TopUpRefused>(log.Append(entry))->reason ==
        TopUpRefusal::kDuplicate);
  log.SkipOffsets(kTestWindow + 1);
  CHECK(Find<TopUpRefused>(log.Append(entry))->reason == TopUpRefusal::kStale);
  LONGS_EQUAL(1500, log.Free());
}

// A faulty tool sends an offset that it cannot have read yet. The age of the
// entry is then unknown, and accepting it would make every late copy look
// recent.
TEST(Balance, a_top_up_from_the_future_is_stale) {
  Fleet log;
  v1::Entry entry = log.Draft(log.alice, {TopUp(500, "t1")});
  entry.set_seen_offset(log.next() + 1);
  CHECK(Find<TopUpRefused>(log.Append(entry))->reason == TopUpRefusal::kStale);
}

TEST(Balance, an_invalid_top_up_is_refused_with_its_reason) {
  Fleet log;
  const auto refusal = [&log](const v1::Record& record) {
    return Find<TopUpRefused>(log.Write(log.alice, record))->reason;
  };
  CHECK(refusal(TopUp(0, "t1")) == TopUpRefusal::kInvalid);
  CHECK(refusal(TopUp(5, "")) == TopUpRefusal::kInvalid);
  CHECK(refusal(TopUp(INT64_MAX, "t2")) == TopUpRefusal::kInvalid);
  v1::Record unknown = TopUp(5, "t3");
  unknown.mutable_topped_up()->set_budget("nobody");
  CHECK(refusal(unknown) == TopUpRefusal::kUnknownBudget);
}

TEST(Balance, a_grant_is_cut_to_the_balance_but_never_below_the_minimum) {
  Fleet log;
  const auto granted = log.Write(log.r1, RequestAllotment(5000, 1000));
  LONGS_EQUAL(1000, Find<Granted>(granted)->tokens.value());
  CHECK(Find<Granted>(granted)->sequence == core::Sequence(2));
  log.Write(log.r1, ReturnAllotment(49));
  const auto denied = log.Write(log.r2, RequestAllotment(80, 50));
  LONGS_EQUAL(49, Find<Denied>(denied)->available.value());
  LONGS_EQUAL(49, log.Free());
}

TEST(Balance, only_gate_requests_draw_on_the_reserve) {
  Fleet log(v1::ON_PROOF, 100);
  LONGS_EQUAL(
      900,
      Find<Granted>(log.Write(log.r1, RequestAllotment(1000)))->tokens.value());
  CHECK(Find<Denied>(log.Write(log.r1, RequestAllotment(1, 1, v1::BATCH))) !=
        nullptr);
  const auto gate = log.Write(log.r2, RequestAllotment(1000, 1, v1::GATE));
  LONGS_EQUAL(100, Find<Granted>(gate)->tokens.value());
}

TEST(Balance, a_return_of_more_than_is_held_changes_nothing) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  log.Write(log.r1, Spend(40));
  CHECK(Ignored(log.Write(log.r1, ReturnAllotment(61)),
                IgnoreReason::kExceedsHolding));
  LONGS_EQUAL(
      60,
      Find<Returned>(log.Write(log.r1, ReturnAllotment(60)))->tokens.value());
  LONGS_EQUAL(960, log.Free());
}

// The reply to an append is lost, so the router appends the same entry again.
// It must get one grant, not two.
TEST(Balance, an_entry_appended_twice_is_applied_once) {
  Fleet log;
  const v1::Entry entry = log.Draft(log.r1, {RequestAllotment(100)});
  CHECK(Find<Granted>(log.Append(entry)) != nullptr);
  CHECK(Ignored(log.Append(entry), IgnoreReason::kDuplicate));
  LONGS_EQUAL(900, log.Free());
}

TEST(Balance, an_entry_after_a_missing_one_is_ignored) {
  Fleet log;
  log.Draft(log.r1, {RequestAllotment(100)});
  CHECK(Ignored(log.Write(log.r1, RequestAllotment(100)),
                IgnoreReason::kSequenceGap));
  LONGS_EQUAL(1000, log.Free());
}

TEST(Balance, records_of_the_wrong_kind_of_writer_are_ignored) {
  Fleet log;
  CHECK(Ignored(log.Write(log.alice, RequestAllotment(100)),
                IgnoreReason::kNotAllowed));
  CHECK(Ignored(log.Write(log.r1, TopUp(9, "t")), IgnoreReason::kNotAllowed));
  Writer stranger{"r9", 9};
  CHECK(Ignored(log.Write(stranger, RequestAllotment(1)),
                IgnoreReason::kUnknownWriter));
  LONGS_EQUAL(1000, log.Free());
}

TEST(Balance, an_order_is_fenced_by_its_offset) {
  Fleet log;
  const uint64_t offset = log.next();
  log.Write(log.r1, OrderModel("engine-1"));
  const v1::Entry repeated = log.Draft(log.alice, {OrderModel("engine-1")});
  log.Append(repeated);
  CHECK(Ignored(log.Append(repeated), IgnoreReason::kDuplicate));
  const Order* order = log.fold().FindOrder(core::UpstreamId("engine-1"));
  CHECK(order->fencing == core::FencingNumber(offset + 1));
  CHECK(Ignored(log.Write(log.r1, OrderModel("engine-9")),
                IgnoreReason::kUnknownUpstream));
}
