#include <CppUTest/TestHarness.h>

#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

// clang-format off
TEST_GROUP(Members){};
// clang-format on

TEST(Members, a_newer_incarnation_retires_the_older) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  Writer again{"r1", 101};
  const auto effects = log.Write(again, Join());
  CHECK(Find<Retired>(effects)->incarnation == core::Incarnation(1));
  CHECK(Find<Retired>(effects)->reason == v1::REPLACED);
  LONGS_EQUAL(100, log.Quarantined());
  CHECK(log.fold().FindLive(core::RouterId("r1"))->incarnation ==
        core::Incarnation(101));
  LONGS_EQUAL(3, log.fold().LiveMembers().size());
}

TEST(Members, an_incarnation_names_one_router_only) {
  Fleet log;
  Writer other{"r4", 1};
  CHECK(Find<JoinRefused>(log.Write(other, Join()))->reason ==
        JoinRefusal::kKnownIncarnation);
  Writer zero{"r4", 0};
  CHECK(Find<JoinRefused>(log.Write(zero, Join()))->reason ==
        JoinRefusal::kInvalid);
}

// A peer retires r1 as silent, but r1's next entry reached the log first. The
// peer decided on an outdated view, so r1 stays.
TEST(Members, a_retirement_is_ignored_if_the_router_wrote_since) {
  Fleet log;
  const v1::Entry verdict = log.Draft(log.r2, {Retire(log.r1, 1)});
  log.Write(log.r1, RequestAllotment(10));
  const auto effects = log.Append(verdict);
  CHECK(Find<RetirementVoided>(effects)->last_sequence == core::Sequence(2));
  CHECK(log.fold().FindLive(core::RouterId("r1")) != nullptr);
}

// r1 is paused during an append, is retired, and resumes. Its append then
// arrives: it must change nothing, and the entry after it must still be in
// sequence.
TEST(Members, requests_of_a_retired_router_after_its_pause_are_ignored) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  const v1::Entry paused = log.Draft(log.r1, {RequestAllotment(50), Spend(20)});
  log.Write(log.r2, Retire(log.r1, 2));
  CHECK(Ignored(log.Append(paused), IgnoreReason::kRetired));
  LONGS_EQUAL(900, log.Free());
  LONGS_EQUAL(100, log.Quarantined());
  log.Write(log.r1, FinalizeSpend(log.r1, 20));
  LONGS_EQUAL(980, log.Free());
}

// A copy of r1's join reaches the log long after r1 was retired and removed.
// Applying it would make a router live that no longer exists.
TEST(Members, a_late_copy_of_a_join_is_refused) {
  Fleet log;
  Writer r4{"r4", 4};
  const v1::Entry join = log.Draft(r4, {Join()});
  log.Append(join);
  log.Write(r4, Retire(r4, 2, v1::DRAINED));
  CHECK(Ignored(log.Append(join), IgnoreReason::kDuplicate));
  log.SkipOffsets(kTestWindow + 1);
  CHECK(log.fold().FindMember(core::RouterId("r4"), core::Incarnation(4)) ==
        nullptr);
  CHECK(Find<JoinRefused>(log.Append(join))->reason == JoinRefusal::kStale);
}

TEST(Members, a_retired_router_is_remembered_until_its_quarantine_is_empty) {
  Fleet log;
  log.RetireFirstRouter();
  log.SkipOffsets(kTestWindow + 1);
  LONGS_EQUAL(1, log.fold().RetiredMembers().size());
  log.Write(log.alice, Release(log.r1, 70));
  LONGS_EQUAL(0, log.fold().RetiredMembers().size());
  LONGS_EQUAL(970, log.Free());
}

TEST(Members, only_the_router_itself_can_retire_as_drained) {
  Fleet log;
  log.Write(log.r1, v1::Record());
  CHECK(Ignored(log.Write(log.r2, Retire(log.r1, 9, v1::DRAINED)),
                IgnoreReason::kNotAllowed));
  v1::Record drain;
  drain.mutable_drain_started();
  CHECK(Find<DrainBegun>(log.Write(log.r1, drain)) != nullptr);
  CHECK(Find<Retired>(log.Write(log.r1, Retire(log.r1, 0, v1::DRAINED)))
            ->reason == v1::DRAINED);
}

TEST(Members, a_witness_must_be_another_live_router) {
  Fleet log;
  CHECK(
      Find<WitnessInForce>(log.Write(log.r1, ChooseWitness(log.r2)))->witness ==
      core::RouterId("r2"));
  CHECK(Find<WitnessRefused>(log.Write(log.r1, ChooseWitness(log.r1))) !=
        nullptr);
  CHECK(Find<WitnessRefused>(log.Write(log.r1, ChooseWitness({"r2", 99}))) !=
        nullptr);
  const Member* r1 =
      log.fold().FindMember(core::RouterId("r1"), core::Incarnation(1));
  CHECK(r1->witness == core::RouterId("r2"));
  log.Write(log.r1, ChooseWitness({}));
  CHECK(r1->witness.empty());
}

TEST(Members, a_confirmation_counts_up_to_the_version_in_force) {
  Fleet log;
  v1::Record confirm;
  confirm.mutable_config_confirmed()->set_version(2);
  CHECK(Ignored(log.Write(log.r1, confirm), IgnoreReason::kInvalid));
  confirm.mutable_config_confirmed()->set_version(1);
  CHECK(Find<ConfigConfirmed>(log.Write(log.r1, confirm)) != nullptr);
}
