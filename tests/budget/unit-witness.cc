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
  f.holdings().OnCeilingAck(f.now(), raise.to, ack);
}

}  // namespace

// clang-format off
TEST_GROUP(Witness){};
// clang-format on

// A router pauses for an hour and is retired, and its tokens above the ceiling
// are granted to other routers. When it resumes, it has not read the log yet.
// Work above the ceiling would then be paid with tokens of those routers.
TEST(Witness, a_router_resumed_after_retirement_cannot_pass_the_ceiling) {
  HoldingManagerFixture f;
  CeilingStore ceiling_store;
  f.Grant(10'000);
  f.Reserve(100);
  f.holdings().ChooseWitness(f.now(), Peer(2));
  Deliver(f, ceiling_store, OnlyOne(f.holdings().TakeCeilingRaises(f.now())));
  f.Records();
  f.holdings().OnWitnessInForce(Peer(2));
  ceiling_store.Close(Peer(1));
  const auto narrowed = ceiling_store.QuarantineNarrowedFor(Peer(1));
  const int64_t reported = narrowed->ceilings(0).tokens();

  f.AdvanceWithoutTick(3'600'000);
  int64_t committed = 100;
  bool reserved = true;
  while (reserved) {
    reserved = f.TryReserve(100).has_value();
    committed += reserved ? 100 : 0;
    for (const auto& raise : f.holdings().TakeCeilingRaises(f.now())) {
      Deliver(f, ceiling_store, raise);
    }
    f.Advance(1'000);
  }
  CHECK(!f.TryReserve(100));
  CHECK(committed <= reported);
  CHECK(reported < 10'000);
  CHECK(f.holdings().WitnessRefuses());
}

// The first raise is acknowledged late, after a second one was lost. If the
// answer were taken for that of the second, the ceiling would rise above what
// the witness has stored.
TEST(Witness, the_answer_to_an_older_raise_raises_no_ceiling) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.Reserve(200);
  const CeilingRaiseTo first = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  f.Ack(first);
  const int64_t ceiling = f.Ceiling();
  f.Reserve(5'000);
  const CeilingRaiseTo second =
      OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK(second.raise.serial() > first.raise.serial());
  f.Ack(first);
  LONGS_EQUAL(ceiling, f.Ceiling());
  f.Ack(second);
  CHECK(f.Ceiling() > ceiling);
}

// Acknowledgements are lost for a while. The raise is resent under the same
// serial, so that the first answer received counts and requests continue.
TEST(Witness, a_raise_is_repeated_until_it_is_acknowledged) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  CHECK(f.Waits(5'000, WaitReason::kCeiling));
  // Tokens of a peer would not help.
  CHECK(f.holdings().TakeTransferAsks(f.now()).empty());
  const CeilingRaiseTo sent = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK(f.holdings().TakeCeilingRaises(f.now()).empty());
  f.Advance(200);
  const CeilingRaiseTo again = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  LONGS_EQUAL(sent.raise.serial(), again.raise.serial());
  f.Ack(again);
  LONGS_EQUAL(1, f.holdings().TakeWokenBudgets().size());
  CHECK(f.TryReserve(5'000).has_value());
}

// While the record of a new witness is pending, this router can be retired with
// either witness in force. Work above the ceiling of either would be spent
// twice.
TEST(Witness, both_ceilings_apply_until_the_change_is_applied) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.holdings().ChooseWitness(f.now(), Peer(3));
  f.Advance(200);
  f.AckRaises();
  CHECK(f.ChoosesWitness());

  CHECK(f.Waits(5'000, WaitReason::kCeiling));
  const auto raises = f.holdings().TakeCeilingRaises(f.now());
  LONGS_EQUAL(2, raises.size());
  f.Ack(raises[0]);
  CHECK_FALSE(f.TryReserve(5'000));
  f.holdings().OnWitnessInForce(Peer(3));
  CHECK_FALSE(f.TryReserve(5'000));
  f.Ack(raises[1]);
  CHECK(f.TryReserve(5'000).has_value());
}

// Without the full list, the new witness would report ceiling 0 for budgets
// that are being spent.
TEST(Witness, the_change_is_not_recorded_before_the_full_list_is_known) {
  HoldingManagerFixture f;
  f.Grant(10'000);
  CHECK(f.TryReserve(3'000).has_value());
  f.holdings().ChooseWitness(f.now(), Peer(2));
  const CeilingRaiseTo full = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK(full.raise.full());
  CHECK(full.raise.ceilings(0).tokens() >= 3'000);
  CHECK_FALSE(f.ChoosesWitness());
  f.Ack(full);
  CHECK(f.ChoosesWitness());

  HoldingManagerFixture idle;
  idle.holdings().ChooseWitness(idle.now(), Peer(2));
  CHECK_FALSE(idle.ChoosesWitness());
  idle.AckRaises();
  CHECK(idle.ChoosesWitness());
}

// If two changes were pending at once, the answer to one could be taken for
// that to the other, and the wrong ceilings would apply.
TEST(Witness, a_change_waits_until_the_previous_one_is_applied) {
  HoldingManagerFixture f;
  f.holdings().ChooseWitness(f.now(), Peer(1));
  CHECK(f.holdings().TakeCeilingRaises(f.now()).empty());
  f.holdings().ChooseWitness(f.now(), Peer(2));
  f.AckRaises();
  CHECK(f.ChoosesWitness());
  f.holdings().ChooseWitness(f.now(), Peer(3));
  f.AckRaises();
  CHECK_FALSE(f.ChoosesWitness());
  f.holdings().OnWitnessRefused(Peer(2));
  CHECK(f.ChoosesWitness());
  f.holdings().OnWitnessInForce(Peer(3));
  CHECK(f.holdings().WitnessInForce() == Peer(3));
}

// A copy of an old raise arrives after a newer one. If it lowered the ceiling,
// the witness would release tokens that the peer may commit.
TEST(Witness, keeps_the_larger_ceiling) {
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

// If a ceiling could be reported before the peer is closed, it could be raised
// right afterwards. The ledger would return tokens that the peer may still
// commit.
TEST(Witness, reports_ceilings_only_of_closed_peers) {
  CeilingStore ceiling_store;
  v1::CeilingRaise raise;
  raise.set_full(true);
  CHECK_FALSE(ceiling_store.OnCeilingRaise(Peer(1), raise).refused());
  CHECK_FALSE(ceiling_store.QuarantineNarrowedFor(Peer(1)));
  ceiling_store.Close(Peer(1));
  CHECK(ceiling_store.QuarantineNarrowedFor(Peer(1)).has_value());
  CHECK(ceiling_store.OnCeilingRaise(Peer(1), raise).refused());
}

// A witness that started later has not received the ceilings of all budgets. A
// closed peer that never sent it a raise must also stay refused when its first
// raise arrives late.
TEST(Witness, reports_no_ceilings_without_the_full_list) {
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

// If the raise that carried a budget's name is lost and the next one omits the
// name, the witness cannot tell which budget the ceiling is for.
TEST(Witness, a_name_is_sent_until_it_is_acknowledged) {
  HoldingManagerFixture f;
  CeilingStore ceiling_store;
  f.Grant(10'000);
  f.UseWitness(Peer(2));
  f.Reserve(200);
  const CeilingRaiseTo lost = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK_FALSE(lost.raise.ceilings(0).budget().empty());
  f.Advance(1'000);
  const CeilingRaiseTo again = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK_FALSE(again.raise.ceilings(0).budget().empty());
  Deliver(f, ceiling_store, again);
  f.Reserve(5'000);
  const CeilingRaiseTo next = OnlyOne(f.holdings().TakeCeilingRaises(f.now()));
  CHECK(next.raise.ceilings(0).budget().empty());
  CHECK_FALSE(ceiling_store.OnCeilingRaise(Peer(1), next.raise).refused());
}

// A witness receives a number without a known name. If it acknowledged that,
// the peer could commit tokens that the witness cannot report once the peer is
// retired.
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
