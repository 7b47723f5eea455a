#include <CppUTest/TestHarness.h>

#include "coppervalve/budget/ceiling_store.h"
#include "holding_manager_fixture.h"

using namespace coppervalve;
using namespace coppervalve::budget;
using core::Tokens;

namespace {

CeilingRaiseTo OnlyOne(const std::vector<CeilingRaiseTo>& raises) {
  LONGS_EQUAL(1, raises.size());
  return raises.at(0);
}

void Deliver(HoldingManagerFixture& f,
             CeilingStore& ceiling_store,
             const CeilingRaiseTo& raise) {
  const v1::CeilingAck ack = ceiling_store.OnCeilingRaise(Peer(1), raise.raise);
  f.book().OnCeilingAck(f.now(), raise.to, ack);
}

}  // namespace

// clang-format off
TEST_GROUP(Witness){};
// clang-format on

// A router pauses for an hour, is retired, and its tokens past the ceiling go
// back and are granted to others. It resumes, hasn't read the log, and callers
// send work: past the ceiling that work would be paid from others' tokens.
TEST(Witness, a_router_resumed_after_retirement_cannot_pass_the_ceiling) {
  HoldingManagerFixture f;
  CeilingStore ceiling_store;
  f.Grant(10'000);
  f.Reserve(100);
  f.book().ChooseWitness(f.now(), Peer(2));
  Deliver(f, ceiling_store, OnlyOne(f.book().TakeCeilingRaises(f.now())));
  f.Records();
  f.book().OnWitnessInForce(Peer(2));
  ceiling_store.Close(Peer(1));
  const auto narrowed = ceiling_store.QuarantineNarrowedFor(Peer(1));
  const int64_t stated = narrowed->ceilings(0).tokens();

  f.AdvanceWithoutTick(3'600'000);
  int64_t committed = 100;
  bool reserved = true;
  while (reserved) {
    reserved = f.TryReserve(100).has_value();
    committed += reserved ? 100 : 0;
    for (const auto& raise : f.book().TakeCeilingRaises(f.now())) {
      Deliver(f, ceiling_store, raise);
    }
    f.Advance(1'000);
  }
  CHECK(!f.TryReserve(100));
  CHECK(committed <= stated);
  CHECK(stated < 10'000);
  CHECK(f.book().WitnessRefuses());
}

// The first raise is acknowledged late, after a second one that got lost. Read
// as the answer to the second, it would lift the ceiling past what the witness
// knows.
TEST(Witness, the_answer_to_an_older_raise_lifts_nothing) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.Reserve(200);
  const CeilingRaiseTo first = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  f.Ack(first);
  const int64_t ceiling = f.Ceiling();
  f.Reserve(5'000);
  const CeilingRaiseTo second = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK(second.raise.serial() > first.raise.serial());
  f.Ack(first);
  LONGS_EQUAL(ceiling, f.Ceiling());
  f.Ack(second);
  CHECK(f.Ceiling() > ceiling);
}

// Acknowledgements get lost for a while. The raise is repeated under its old
// serial, so the first answer to come through counts, and callers go on.
TEST(Witness, a_raise_is_repeated_until_it_is_acknowledged) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  CHECK(f.Waits(5'000, WaitReason::kCeiling));
  // Tokens of a peer wouldn't help.
  CHECK(f.book().TakeTransferAsks(f.now()).empty());
  const CeilingRaiseTo sent = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK(f.book().TakeCeilingRaises(f.now()).empty());
  f.Advance(200);
  const CeilingRaiseTo again = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  LONGS_EQUAL(sent.raise.serial(), again.raise.serial());
  f.Ack(again);
  LONGS_EQUAL(1, f.book().TakeWokenBudgets().size());
  CHECK(f.TryReserve(5'000).has_value());
}

// The record that names a new witness is on its way. Whoever retires this
// router now may find the old witness in force or the new one: work past the
// ceiling of either would be spent twice.
TEST(Witness, both_witnesses_bind_until_the_change_is_folded) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.book().ChooseWitness(f.now(), Peer(3));
  f.Advance(200);
  f.AckRaises();
  CHECK(f.ChoosesWitness());

  CHECK(f.Waits(5'000, WaitReason::kCeiling));
  const auto raises = f.book().TakeCeilingRaises(f.now());
  LONGS_EQUAL(2, raises.size());
  f.Ack(raises[0]);
  CHECK_FALSE(f.TryReserve(5'000));
  f.book().OnWitnessInForce(Peer(3));
  CHECK_FALSE(f.TryReserve(5'000));
  f.Ack(raises[1]);
  CHECK(f.TryReserve(5'000).has_value());
}

// Without the full list at the new witness its narrowed would name ceiling 0
// for budgets that are being spent.
TEST(Witness, the_change_is_not_recorded_before_the_full_list_is_known) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  CHECK(f.TryReserve(3'000).has_value());
  f.book().ChooseWitness(f.now(), Peer(2));
  const CeilingRaiseTo full = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK(full.raise.full());
  CHECK(full.raise.ceilings(0).tokens() >= 3'000);
  CHECK_FALSE(f.ChoosesWitness());
  f.Ack(full);
  CHECK(f.ChoosesWitness());

  HoldingManagerFixture idle;
  idle.book().ChooseWitness(idle.now(), Peer(2));
  CHECK_FALSE(idle.ChoosesWitness());
  idle.AckRaises();
  CHECK(idle.ChoosesWitness());
}

// Two changes on their way at once: an answer of the fold could be taken for
// the other one's, and the wrong ceilings would bind.
TEST(Witness, a_change_waits_until_the_one_before_is_folded) {
  HoldingManagerFixture f;
  f.book().ChooseWitness(f.now(), Peer(1));
  CHECK(f.book().TakeCeilingRaises(f.now()).empty());
  f.book().ChooseWitness(f.now(), Peer(2));
  f.AckRaises();
  CHECK(f.ChoosesWitness());
  f.book().ChooseWitness(f.now(), Peer(3));
  f.AckRaises();
  CHECK_FALSE(f.ChoosesWitness());
  f.book().OnWitnessRefused(Peer(2));
  CHECK(f.ChoosesWitness());
  f.book().OnWitnessInForce(Peer(3));
  CHECK(f.book().WitnessInForce() == Peer(3));
}

// A copy of an old raise comes after a newer one. Lowered by it, the narrowed
// would free tokens that the peer was allowed to commit.
TEST(Witness, a_desk_keeps_the_larger_ceiling) {
  CeilingStore ceiling_store;
  v1::CeilingRaise raise;
  raise.set_full(true);
  v1::PeerCeiling* ceiling = raise.add_ceilings();
  ceiling->set_budget("gate");
  for (const int64_t tokens : {100, 900, 100}) {
    ceiling->set_tokens(tokens);
    ceiling_store.OnCeilingRaise(Peer(1), raise);
  }
  ceiling_store.Close(Peer(1));
  LONGS_EQUAL(
      900, ceiling_store.QuarantineNarrowedFor(Peer(1))->ceilings(0).tokens());
}

// Stated before it is closed, a ceiling could be raised right afterwards: the
// fold would give back tokens that the peer may still commit.
TEST(Witness, a_desk_states_only_what_it_has_closed) {
  CeilingStore ceiling_store;
  v1::CeilingRaise raise;
  raise.set_full(true);
  CHECK_FALSE(ceiling_store.OnCeilingRaise(Peer(1), raise).refused());
  CHECK_FALSE(ceiling_store.QuarantineNarrowedFor(Peer(1)));
  ceiling_store.Close(Peer(1));
  CHECK(ceiling_store.QuarantineNarrowedFor(Peer(1)).has_value());
  CHECK(ceiling_store.OnCeilingRaise(Peer(1), raise).refused());
}

// A ceiling_store that started in the middle doesn't know all budgets; one it
// has never heard from must stay refused, too, when its first raise comes late.
TEST(Witness, a_desk_without_the_full_list_states_nothing) {
  CeilingStore ceiling_store;
  v1::CeilingRaise raise;
  ceiling_store.OnCeilingRaise(Peer(1), raise);
  ceiling_store.Close(Peer(1));
  CHECK_FALSE(ceiling_store.QuarantineNarrowedFor(Peer(1)));
  ceiling_store.Close(Peer(3));
  raise.set_full(true);
  CHECK(ceiling_store.OnCeilingRaise(Peer(3), raise).refused());
  CHECK_FALSE(ceiling_store.QuarantineNarrowedFor(Peer(3)));
}

// A raise that carried a budget's name is lost. Were the name left out of the
// next one, the witness could not tell whose ceiling it is.
TEST(Witness, a_name_goes_along_until_it_was_acknowledged) {
  HoldingManagerFixture f;
  CeilingStore ceiling_store;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.Reserve(200);
  const CeilingRaiseTo lost = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK_FALSE(lost.raise.ceilings(0).budget().empty());
  f.Advance(1'000);
  const CeilingRaiseTo again = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK_FALSE(again.raise.ceilings(0).budget().empty());
  Deliver(f, ceiling_store, again);
  f.Reserve(5'000);
  const CeilingRaiseTo next = OnlyOne(f.book().TakeCeilingRaises(f.now()));
  CHECK(next.raise.ceilings(0).budget().empty());
  CHECK_FALSE(ceiling_store.OnCeilingRaise(Peer(1), next.raise).refused());
}

// A witness gets a number that it has no name for. Acknowledged, the peer would
// commit tokens that the witness can't state after the peer's death.
TEST(Witness, a_number_without_a_name_is_refused) {
  CeilingStore ceiling_store;
  v1::CeilingRaise raise;
  raise.set_serial(1);
  raise.set_full(true);
  v1::PeerCeiling* ceiling = raise.add_ceilings();
  ceiling->set_number(7);
  ceiling->set_tokens(500);
  CHECK(ceiling_store.OnCeilingRaise(Peer(1), raise).refused());
}
