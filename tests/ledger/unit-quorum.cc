#include <CppUTest/TestHarness.h>

#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

// clang-format off
TEST_GROUP(Acceptance){};
// clang-format on

TEST(Acceptance, a_fleet_without_routers_accepts_a_configuration_at_once) {
  TestLog log;
  Writer alice{"operator:alice", 11};
  const auto effects = log.Write(alice, Publish(0, 1000, "c1"));
  CHECK(Find<ConfigAccepted>(effects) != nullptr);
}

// A configuration is published while most routers cannot read the log. If it
// came into force for the one that can, two configurations would be in use. It
// waits until a second of the three has read it.
TEST(Acceptance, a_proposal_waits_until_more_than_half_have_read_it) {
  Fleet log;
  log.ConfirmReadByAll();
  log.Write(log.alice, Publish(1, 1500, "c2"));
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(log.r1)) == nullptr);
  CHECK(log.fold().config_version() == core::ConfigVersion(1));
  CHECK(log.fold().known_version() == core::ConfigVersion(2));
  LONGS_EQUAL(1000, log.Free());
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(log.r2)) != nullptr);
  LONGS_EQUAL(1500, log.Free());
}

// An entry was written before its writer had read the proposal, but appended
// after it. It is no evidence that the proposal was read.
TEST(Acceptance, an_entry_written_before_the_proposal_does_not_count) {
  Fleet log;
  log.ConfirmReadByAll();
  const v1::Entry one = log.Draft(log.r1, {RequestAllotment(1)});
  const v1::Entry two = log.Draft(log.r2, {RequestAllotment(1)});
  log.Write(log.alice, Publish(1, 1500, "c2"));
  log.Append(one);
  log.Append(two);
  CHECK(log.fold().config_version() == core::ConfigVersion(1));
}

// A minority that can read the log retires the others, which are live but cut
// off from it. It must not become a majority that way: the votes are removed
// only once a majority has read the retirement.
TEST(Acceptance, a_minority_cannot_remove_the_votes_of_others) {
  Fleet log;
  log.ConfirmReadByAll();
  log.Write(log.r1, Retire(log.r2, log.r2.sequence));
  log.Write(log.r1, Retire(log.r3, log.r3.sequence));
  log.Write(log.alice, Publish(1, 1500, "c2"));
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(log.r1)) == nullptr);
  LONGS_EQUAL(3, log.fold().voters());
}

// The same minority starts new routers. They serve requests, but have no vote
// until a majority of the existing voters has read their joins.
TEST(Acceptance, a_minority_cannot_outvote_the_others_with_new_routers) {
  Fleet log;
  log.ConfirmReadByAll();
  for (uint64_t i = 0; i < 4; ++i) {
    Writer more{"more-" + std::to_string(i), 100 + i};
    log.Write(more, Join());
  }
  log.Write(log.alice, Publish(1, 1500, "c2"));
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(log.r1)) == nullptr);
  LONGS_EQUAL(3, log.fold().voters());
  log.ConfirmRead(log.r2);
  CHECK(log.fold().voters() > 3);
}

// Most routers are lost permanently. An operator retires them, after which the
// rest can change the configuration again.
TEST(Acceptance, an_operator_retires_lost_voters_at_once) {
  Fleet log;
  log.ConfirmReadByAll();
  log.Write(log.alice, Retire(log.r2, log.r2.sequence, v1::OPERATOR));
  log.Write(log.alice, Retire(log.r3, log.r3.sequence, v1::OPERATOR));
  LONGS_EQUAL(1, log.fold().voters());
  log.Write(log.alice, Publish(1, 1500, "c2"));
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(log.r1)) != nullptr);
}

// A router restarts while a proposal is pending; its new incarnation is a
// voter.
TEST(Acceptance, a_restarted_router_keeps_its_vote) {
  Fleet log;
  log.ConfirmReadByAll();
  Writer again{"r2", 22};
  log.Write(again, Join());
  LONGS_EQUAL(3, log.fold().voters());
  log.Write(log.alice, Publish(1, 1500, "c2"));
  log.ConfirmRead(log.r1);
  CHECK(Find<ConfigAccepted>(log.ConfirmRead(again)) != nullptr);
}

// A router that starts from a snapshot with a pending proposal must accept it
// at the same offset as routers that read the whole log.
TEST(Acceptance, a_snapshot_keeps_voters_and_the_pending_proposal) {
  Fleet log;
  log.ConfirmReadByAll();
  log.Write(log.alice, Publish(1, 1500, "c2"));
  log.ConfirmRead(log.r1);
  auto copy = Fold::FromState(log.fold().ToState(), {.dedup_window = 100});
  CHECK(core::IsOk(copy));
  Fold loaded = core::TakeValue(std::move(copy));
  CHECK(loaded.Digest() == log.fold().Digest());
  log.ConfirmRead(log.r2);
  CHECK(core::IsOk(loaded.Apply(loaded.next_offset(), log.entries().back())));
  CHECK(loaded.config_version() == core::ConfigVersion(2));
  CHECK(loaded.Digest() == log.fold().Digest());
}
