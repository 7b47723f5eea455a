#include <CppUTest/TestHarness.h>

#include "holding_manager_fixture.h"

using namespace coppervalve;
using namespace coppervalve::budget;

// clang-format off
TEST_GROUP(Transfer){};
// clang-format on

namespace {

/// Lets an idle holding send a transfer to Peer(2).
TransferSendTo Send(HoldingManagerFixture& f, int64_t tokens) {
  f.AdvanceWithoutTick(6'000);
  f.ReceiveTransferAsk(Peer(2), tokens);
  const auto sends = f.holdings().TakeTransferSends(f.now());
  LONGS_EQUAL(1, sends.size());
  return sends.at(0);
}

}  // namespace

// If the message is lost, the sender cannot tell whether the tokens arrived. It
// must not spend them, and it resends the same transfer.
TEST(Transfer, debits_the_sender_and_repeats_under_the_same_id) {
  HoldingManagerFixture f;
  f.Grant(1000);
  const TransferSendTo sent = Send(f, 600);
  LONGS_EQUAL(400, f.Held());
  CHECK_FALSE(f.TryReserve(401));
  f.Advance(500);
  const auto again = f.holdings().TakeTransferSends(f.now());
  LONGS_EQUAL(sent.send.transfer_id(), again.at(0).send.transfer_id());
  v1::TransferAck ack;
  ack.set_transfer_id(sent.send.transfer_id());
  f.holdings().OnTransferAck(Peer(2), ack);
  f.Advance(500);
  CHECK(f.holdings().TakeTransferSends(f.now()).empty());
}

// A transfer can arrive as a message, as a repeated message and as a log
// record, in any order. Crediting it twice would create tokens that nobody paid
// for.
TEST(Transfer, is_credited_once_however_often_it_arrives) {
  HoldingManagerFixture sender;
  sender.Grant(1000);
  const TransferSendTo sent = Send(sender, 600);
  const v1::TransferRecorded record =
      sender.Records().at(0).transfer_recorded();

  HoldingManagerFixture by_message(2);
  CHECK(by_message.holdings()
            .OnTransferSend(by_message.now(), Peer(1), sent.send)
            .has_value());
  CHECK(by_message.holdings()
            .OnTransferSend(by_message.now(), Peer(1), sent.send)
            .has_value());
  by_message.holdings().OnTransferApplied(by_message.now(), record);
  LONGS_EQUAL(600, by_message.Held());

  HoldingManagerFixture by_log(2);
  by_log.holdings().OnTransferApplied(by_log.now(), record);
  by_log.holdings().OnTransferApplied(by_log.now(), record);
  CHECK(by_log.holdings()
            .OnTransferSend(by_log.now(), Peer(1), sent.send)
            .has_value());
  LONGS_EQUAL(600, by_log.Held());
}

// The ledger refuses a spend that exceeds the holding. If the spend were
// reported before the transfer is recorded, all later reports of the receiver
// would be ignored.
TEST(Transfer, is_recorded_before_its_tokens_are_reported_as_spent) {
  HoldingManagerFixture f(2);
  v1::TransferSend send;
  send.set_transfer_id(7);
  send.set_budget(f.budget().value());
  send.set_tokens(500);
  f.holdings().OnTransferSend(f.now(), Peer(1), send);
  f.holdings().Settle(f.now(), *f.TryReserve(500), core::Tokens(500),
                      Unkeyed{});
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

// The sender crashes after sending, and its witness reports a ceiling. If the
// transfer did not count against it, the transferred tokens would be granted
// again.
TEST(Transfer, counts_against_the_ceiling_of_the_sender) {
  HoldingManagerFixture f;
  f.Grant(1000);
  f.UseWitness(Peer(3));
  const int64_t ceiling = f.Ceiling();
  f.AdvanceWithoutTick(6'000);
  f.ReceiveTransferAsk(Peer(2), 1000);
  const auto sends = f.holdings().TakeTransferSends(f.now());
  int64_t sent = 0;
  for (const auto& send : sends) {
    sent += send.send.tokens();
  }
  CHECK(sent <= ceiling);
  f.AckRaises();
  f.ReceiveTransferAsk(Peer(2), 1000 - sent);
  LONGS_EQUAL(0, f.Held());
  CHECK(core::IsOk(f.holdings().CheckInvariants()));
}

// Tokens that just arrived are passed on. If the second record is applied
// before the first, the ledger finds the holding too small and ignores it.
TEST(Transfer, is_not_made_from_tokens_whose_arrival_is_not_applied) {
  HoldingManagerFixture f(2);
  v1::TransferSend send;
  send.set_transfer_id(1);
  send.set_budget(f.budget().value());
  send.set_tokens(500);
  f.holdings().OnTransferSend(f.now(), Peer(1), send);
  const v1::TransferRecorded record = f.Records().at(0).transfer_recorded();
  f.ReceiveTransferAsk(Peer(3), 500);
  LONGS_EQUAL(500, f.Held());
  f.holdings().OnTransferApplied(f.now(), record);
  f.ReceiveTransferAsk(Peer(3), 500);
  LONGS_EQUAL(0, f.Held());
}

// The sender is retired before its transfer is applied. A final report without
// the transfer would release tokens that the receiver may be spending.
TEST(Transfer, that_is_not_applied_is_withheld_by_the_final_report) {
  HoldingManagerFixture f;
  f.Grant(1000);
  Send(f, 600);
  f.holdings().OnRetired(f.now());
  const auto transfers = f.Records();
  LONGS_EQUAL(1, transfers.size());
  CHECK(transfers.at(0).has_transfer_recorded());
  CHECK(f.Records().empty());
  f.AdvanceWithoutTick(5'000);
  const v1::SpendFinalized last = f.Records().at(0).spend_finalized();
  LONGS_EQUAL(600, last.budgets(0).transfers_pending());
}

// A transfer arrives after this router was retired and made its final report.
// If it were credited and acknowledged, both routers would lose the tokens.
TEST(Transfer, that_arrives_after_retirement_is_not_accepted) {
  HoldingManagerFixture f(2);
  f.holdings().OnRetired(f.now());
  v1::TransferSend send;
  send.set_transfer_id(1);
  send.set_budget(f.budget().value());
  send.set_tokens(5);
  CHECK_FALSE(f.holdings().OnTransferSend(f.now(), Peer(1), send));
}
