#include <CppUTest/TestHarness.h>

#include "order_fixture.h"

namespace coppervalve::orders {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

std::function<SendOutcome(const DeliverOrder&)> Always(SendOutcome outcome) {
  return [outcome](const DeliverOrder&) { return outcome; };
}

}  // namespace

// clang-format off
TEST_GROUP(OrderManager){};
// clang-format on

TEST(OrderManager, one_router_sends_an_order_once_and_reports_that_it_is_done) {
  OrderFleet run;
  run.reply = Always(SendOutcome::kDone);
  const core::FencingNumber fencing = run.Issue("blind");
  run.Run(minutes(1));
  LONGS_EQUAL(1, run.sent.size());
  CHECK(run.sent[0].command.fencing == fencing);
  LONGS_EQUAL(v1::DONE, run.Outcome("blind"));
}

// The reply to an order is lost, so the engine may have applied it. An engine
// that checks fencing numbers gets the same number again, which has no further
// effect.
TEST(OrderManager, a_lost_reply_of_a_checking_engine_is_followed_by_a_resend) {
  OrderFleet run({"e0"});
  run.reply = [&run](const DeliverOrder&) {
    return run.sent.size() < 3 ? SendOutcome::kUnknown : SendOutcome::kDone;
  };
  const core::FencingNumber fencing = run.Issue("e0");
  run.Run(minutes(1));
  LONGS_EQUAL(3, run.sent.size());
  for (const OrderFleet::Sent& sent : run.sent) {
    CHECK(sent.command.fencing == fencing);
  }
  LONGS_EQUAL(v1::DONE, run.Outcome("e0"));
}

// An engine that ignores fencing numbers gets no resend, which could undo a
// later order. The outcome is reported to the operator as unknown.
TEST(OrderManager, a_lost_reply_of_an_ignoring_engine_is_left_to_the_operator) {
  OrderFleet run;
  run.reply = Always(SendOutcome::kUnknown);
  run.Issue("blind");
  run.Run(minutes(10));
  LONGS_EQUAL(1, run.sent.size());
  LONGS_EQUAL(v1::OUTCOME_UNKNOWN, run.Outcome("blind"));
}

// The first attempt reached the engine without a reply and the second is
// refused. The refusal does not show that nothing changed.
TEST(OrderManager,
     a_refusal_after_a_lost_reply_is_no_proof_that_nothing_changed) {
  OrderFleet run({"e0"});
  run.reply = [&run](const DeliverOrder&) {
    return run.sent.size() == 1 ? SendOutcome::kUnknown : SendOutcome::kRefused;
  };
  run.Issue("e0");
  run.Run(minutes(1));
  LONGS_EQUAL(v1::OUTCOME_UNKNOWN, run.Outcome("e0"));
}

TEST(OrderManager,
     an_order_that_never_leaves_is_tried_again_and_then_given_up) {
  OrderFleet run;
  run.reply = Always(SendOutcome::kNotSent);
  run.Issue("blind");
  run.Run(seconds(5));
  CHECK(run.sent.size() >= 2);
  run.Run(minutes(10));
  LONGS_EQUAL(OrderManagerOptions{}.max_attempts, run.sent.size());
  LONGS_EQUAL(v1::NOT_SENT, run.Outcome("blind"));
}

// The sender is paused before any reply and retired in the log. An engine that
// checks fencing numbers gets the same number from another router; for others,
// no router may send while the paused one still can.
TEST(OrderManager,
     the_order_of_a_retired_sender_goes_on_only_where_it_is_safe) {
  for (const char* upstream : {"e0", "blind"}) {
    OrderFleet run({"e0"});
    run.Issue(upstream);
    run.Run(seconds(10));
    LONGS_EQUAL(1, run.sent.size());
    const size_t first = run.sent[0].router;
    run.halted.insert(first);
    run.Run(minutes(1));
    LONGS_EQUAL(1, run.sent.size());
    run.RetireRouter(first);
    run.Run(minutes(1));
    LONGS_EQUAL(std::string(upstream) == "e0" ? 2 : 1, run.sent.size());
    CHECK(run.sent.back().router != first || std::string(upstream) == "blind");
  }
}

// The first-ranked router has a stale configuration or drains. The next one
// takes the order after its delay.
TEST(OrderManager, a_stale_or_draining_router_leaves_the_order_to_the_next) {
  OrderFleet probe;
  probe.Issue("blind");
  probe.Run(seconds(10));
  const size_t first = probe.sent.at(0).router;
  for (const bool drains : {false, true}) {
    OrderFleet run;
    (drains ? run.draining : run.stale).insert(first);
    run.Issue("blind");
    run.Run(seconds(10));
    LONGS_EQUAL(1, run.sent.size());
    CHECK(run.sent[0].router != first);
  }
}

// A router that took an order and could not connect is drained. It must return
// the order, so that another router sends it at once without an operator, and
// the drain waits until that is safe.
TEST(OrderManager, a_draining_router_hands_an_unsent_order_back) {
  OrderFleet run;
  run.reply = Always(SendOutcome::kNotSent);
  run.Issue("blind");
  run.Run(seconds(2));
  const size_t first = run.sent.at(0).router;
  LONGS_EQUAL(1, run.managers[first].busy());
  run.draining.insert(first);
  run.reply = Always(SendOutcome::kDone);
  run.Run(seconds(10));
  LONGS_EQUAL(0, run.managers[first].busy());
  CHECK(run.sent.back().router != first);
  LONGS_EQUAL(v1::DONE, run.Outcome("blind"));
}

TEST(OrderManager, two_loads_at_once_and_the_third_when_one_has_ended) {
  OrderFleet run({"e0", "e1", "e2"});
  run.Issue("e0");
  run.Issue("e1");
  const core::FencingNumber last = run.Issue("e2");
  run.Run(seconds(20));
  LONGS_EQUAL(2, run.sent.size());
  const OrderFleet::Sent ended = run.sent[0];
  CHECK(ended.command.fencing < last);
  run.managers[ended.router].OnSent(run.now, ended.command.upstream,
                                    ended.command.fencing, SendOutcome::kDone);
  run.Run(seconds(10));
  LONGS_EQUAL(3, run.sent.size());
  CHECK(run.sent[2].command.fencing == last);
}

// A newer order is issued while the same router still sends the older one. Sent
// together they could arrive in either order, so the newer one waits.
TEST(OrderManager, an_upstream_gets_one_order_at_a_time) {
  OrderFleet run({"e0"});
  run.halted = {1, 2};
  run.Issue("e0");
  run.Run(seconds(10));
  LONGS_EQUAL(1, run.sent.size());
  const DeliverOrder first = run.sent[0].command;
  const core::FencingNumber second = run.Issue("e0");
  run.Run(seconds(10));
  LONGS_EQUAL(1, run.sent.size());
  run.managers[0].OnSent(run.now, first.upstream, first.fencing,
                         SendOutcome::kDone);
  run.Run(seconds(10));
  LONGS_EQUAL(2, run.sent.size());
  CHECK(run.sent[1].command.fencing == second);
}

}  // namespace coppervalve::orders
