#include <CppUTest/TestHarness.h>

#include "holding_manager_fixture.h"

using namespace coppervalve;
using namespace coppervalve::budget;

// clang-format off
TEST_GROUP(Transfer){};
// clang-format on

namespace {

/// Lets an idle book send a transfer to Peer(2).
TransferSendTo Send(HoldingManagerFixture& f, int64_t tokens) {
  f.AdvanceWithoutTick(6'000);
  f.ReceiveTransferAsk(Peer(2), tokens);
  const auto sends = f.book().TakeTransferSends(f.now());
  LONGS_EQUAL(1, sends.size());
  return sends.at(0);
}

}  // namespace

// The message is lost. The sender may not spend the tokens any more, since it
// cannot tell whether they arrived; it sends the same transfer again.
TEST(Transfer, debits_the_sender_and_repeats_under_the_same_id) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const TransferSendTo sent = Send(f, 600);
  LONGS_EQUAL(400, f.Held());
  CHECK_FALSE(f.TryReserve(401));
  f.Advance(500);
  const auto again = f.book().TakeTransferSends(f.now());
  LONGS_EQUAL(sent.send.transfer_id(), again.at(0).send.transfer_id());
  v1::TransferAck ack;
  ack.set_transfer_id(sent.send.transfer_id());
  f.book().OnTransferAck(Peer(2), ack);
  f.Advance(500);
  CHECK(f.book().TakeTransferSends(f.now()).empty());
}

// One transfer reaches the receiver as message, as repeated message and as
// record of the log, in any order. Credited twice, tokens would exist that
// nobody paid for.
TEST(Transfer, is_credited_once_however_often_it_arrives) {
  HoldingManagerFixture sender;
  sender.Grant(1000);
  const TransferSendTo sent = Send(sender, 600);
  const v1::TransferRecorded record =
      sender.Records().at(0).transfer_recorded();

  HoldingManagerFixture by_message(2);
  CHECK(by_message.book()
            .OnTransferSend(by_message.now(), Peer(1), sent.send)
            .has_value());
  CHECK(by_message.book()
            .OnTransferSend(by_message.now(), Peer(1), sent.send)
            .has_value());
  by_message.book().OnTransferApplied(by_message.now(), record);
  LONGS_EQUAL(600, by_message.Held());

  HoldingManagerFixture by_log(2);
  by_log.book().OnTransferApplied(by_log.now(), record);
  by_log.book().OnTransferApplied(by_log.now(), record);
  CHECK(by_log.book()
            .OnTransferSend(by_log.now(), Peer(1), sent.send)
            .has_value());
  LONGS_EQUAL(600, by_log.Held());
}

// The fold refuses a spend past the holding: reported before the transfer is
// recorded, the receiver's reports would be ignored from then on.
TEST(Transfer, is_recorded_before_its_tokens_are_reported_as_spent) {
  HoldingManagerFixture f(2);
  v1::TransferSend send;
  send.set_transfer_id(7);
  send.set_budget(f.budget().value());
  send.set_tokens(500);
  f.book().OnTransferSend(f.now(), Peer(1), send);
  f.book().Settle(f.now(), *f.TryReserve(500), core::Tokens(500), Unkeyed{});
  const auto records = f.Records();
  size_t transfer = records.size();
  for (size_t i = 0; i < records.size(); ++i) {
    if (records[i].has_transfer_recorded()) {
      transfer = i;
    }
    CHECK(!records[i].has_spend_reported() || i > transfer);
  }
  CHECK(records.back().has_spend_reported());
}

// The sender crashes after sending; its witness states a ceiling. Were the
// transfer not counted against it, sender's and receiver's tokens would be
// granted again.
TEST(Transfer, counts_against_the_ceiling_of_the_sender) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.UseWitness(Peer(3));
  const int64_t ceiling = f.Ceiling();
  f.AdvanceWithoutTick(6'000);
  f.ReceiveTransferAsk(Peer(2), 1000);
  const auto sends = f.book().TakeTransferSends(f.now());
  int64_t sent = 0;
  for (const auto& send : sends) {
    sent += send.send.tokens();
  }
  CHECK(sent <= ceiling);
  f.AckRaises();
  f.ReceiveTransferAsk(Peer(2), 1000 - sent);
  LONGS_EQUAL(0, f.Held());
  CHECK(core::IsOk(f.book().CheckInvariants()));
}

// Tokens that just came in are passed on. Their second record may be folded
// before the first: the fold would find the holding too small and ignore it.
TEST(Transfer, is_not_made_from_tokens_whose_arrival_is_not_folded) {
  HoldingManagerFixture f(2);
  v1::TransferSend send;
  send.set_transfer_id(1);
  send.set_budget(f.budget().value());
  send.set_tokens(500);
  f.book().OnTransferSend(f.now(), Peer(1), send);
  const v1::TransferRecorded record = f.Records().at(0).transfer_recorded();
  f.ReceiveTransferAsk(Peer(3), 500);
  LONGS_EQUAL(500, f.Held());
  f.book().OnTransferApplied(f.now(), record);
  f.ReceiveTransferAsk(Peer(3), 500);
  LONGS_EQUAL(0, f.Held());
}

// The sender is retired before its transfer is folded. A final report that
// leaves it out would free tokens that the receiver may be spending.
TEST(Transfer, that_is_not_folded_is_withheld_by_the_final_report) {
  HoldingManagerFixture f;
  f.Grant(1000);
  Send(f, 600);
  f.book().OnRetired(f.now());
  const auto transfers = f.Records();
  LONGS_EQUAL(1, transfers.size());
  CHECK(transfers.at(0).has_transfer_recorded());
  CHECK(f.Records().empty());
  f.AdvanceWithoutTick(5'000);
  const v1::SpendFinalized last = f.Records().at(0).spend_finalized();
  LONGS_EQUAL(600, last.budgets(0).transfers_pending());
}

// A transfer arrives after this router was retired and made its final report:
// credited and acknowledged, the tokens would be lost to both.
TEST(Transfer, that_arrives_after_retirement_is_not_taken) {
  HoldingManagerFixture f(2);
  f.book().OnRetired(f.now());
  v1::TransferSend send;
  send.set_transfer_id(1);
  send.set_budget(f.budget().value());
  send.set_tokens(5);
  CHECK_FALSE(f.book().OnTransferSend(f.now(), Peer(1), send));
}
