#include <CppUTest/TestHarness.h>

#include "test_log.h"

namespace coppervalve::ledger {

namespace {

v1::Record MakeOrderTaken(const std::string& upstream, uint64_t fencing) {
  v1::Record record;
  record.mutable_order_taken()->set_upstream(upstream);
  record.mutable_order_taken()->set_fencing_number(fencing);
  return record;
}

v1::Record MakeOrderEnded(const std::string& upstream,
                          uint64_t fencing,
                          v1::OrderOutcome outcome) {
  v1::Record record;
  v1::OrderEnded& ended = *record.mutable_order_ended();
  ended.set_upstream(upstream);
  ended.set_fencing_number(fencing);
  ended.set_outcome(outcome);
  return record;
}

// The engine "blind" ignores fencing numbers; "e0" to "e2" check them.
struct Engines : TestLog {
  Writer alice{"operator:alice", 11};
  Writer r1{"r1", 1};
  Writer r2{"r2", 2};
  Writer r3{"r3", 3};

  Engines() {
    v1::Record record = Publish(0, 1000, "c1");
    v1::Configuration& configuration =
        *record.mutable_config_published()->mutable_configuration();
    configuration.add_upstreams()->set_id("blind");
    for (const char* id : {"e0", "e1", "e2"}) {
      v1::Upstream& engine = *configuration.add_upstreams();
      engine.set_id(id);
      engine.set_checks_fencing(true);
    }
    Write(alice, record);
    for (Writer* router : {&r1, &r2, &r3}) {
      Write(*router, Join());
    }
  }

  uint64_t Issue(const std::string& upstream) {
    const uint64_t fencing = next();
    Write(alice, OrderModel(upstream));
    return fencing;
  }
  bool Take(Writer& router, const std::string& upstream, uint64_t fencing) {
    return Find<OrderTaken>(Write(router, MakeOrderTaken(upstream, fencing))) !=
           nullptr;
  }
  bool End(Writer& writer,
           const std::string& upstream,
           uint64_t fencing,
           v1::OrderOutcome outcome) {
    return Find<OrderEnded>(
        Write(writer, MakeOrderEnded(upstream, fencing, outcome)));
  }
  const Order& order(const std::string& upstream) {
    return *fold().FindOrder(core::UpstreamId(upstream));
  }
};

}  // namespace

// clang-format off
TEST_GROUP(Orders){};
// clang-format on

// r1 takes an order to an engine that ignores fencing numbers and is paused
// before sending it. A newer order would be silently undone when r1 resumes. So
// it is refused until an operator has settled the older one, which requires
// that r1 is retired.
TEST(Orders, no_newer_order_is_issued_while_an_older_one_may_reach_the_engine) {
  Engines log;
  const uint64_t first = log.Issue("blind");
  CHECK(log.Take(log.r1, "blind", first));
  const auto refused = log.Write(log.alice, OrderModel("blind"));
  CHECK(Find<OrderRefused>(refused)->unsettled == core::FencingNumber(first));
  const v1::Record settle = MakeOrderEnded("blind", first, v1::SETTLED);
  CHECK(Ignored(log.Write(log.alice, settle), IgnoreReason::kOrderInProgress));
  log.Write(log.r2, Retire(log.r1, log.r1.sequence));
  CHECK_FALSE(log.Take(log.r2, "blind", first));
  CHECK(Find<OrderRefused>(log.Write(log.alice, OrderModel("blind"))));
  CHECK(log.End(log.alice, "blind", first, v1::SETTLED));
  const uint64_t second = log.Issue("blind");
  CHECK(log.order("blind").fencing == core::FencingNumber(second));
}

// As before, but the sender reports that it got no valid reply: the order may
// still arrive at any time.
TEST(Orders, an_unknown_outcome_stays_unsettled_until_an_operator_settles_it) {
  Engines log;
  const uint64_t first = log.Issue("blind");
  CHECK(log.Take(log.r1, "blind", first));
  CHECK(log.End(log.r1, "blind", first, v1::OUTCOME_UNKNOWN));
  CHECK_FALSE(log.End(log.r1, "blind", first, v1::HANDED_BACK));
  CHECK(Find<OrderRefused>(log.Write(log.alice, OrderModel("blind"))));
  CHECK(log.End(log.alice, "blind", first, v1::SETTLED));
  CHECK(Find<OrderInForce>(log.Write(log.alice, OrderModel("blind"))));
}

TEST(Orders, an_order_that_was_not_taken_is_replaced_by_a_newer_one) {
  Engines log;
  const uint64_t first = log.Issue("blind");
  const uint64_t second = log.Issue("blind");
  CHECK_FALSE(log.Take(log.r1, "blind", first));
  CHECK(log.Take(log.r1, "blind", second));
}

TEST(Orders, a_checking_engine_gets_newer_orders_and_another_sender) {
  Engines log;
  const uint64_t first = log.Issue("e0");
  CHECK(log.Take(log.r1, "e0", first));
  CHECK_FALSE(log.Take(log.r2, "e0", first));
  log.Write(log.r3, Retire(log.r1, log.r1.sequence));
  CHECK(log.Take(log.r2, "e0", first));
  const uint64_t second = log.Issue("e0");
  CHECK_FALSE(log.End(log.r2, "e0", first, v1::DONE));
  CHECK(log.order("e0").fencing == core::FencingNumber(second));
  CHECK(log.order("e0").open());
}

TEST(Orders, only_the_holder_reports_an_outcome_and_only_once) {
  Engines log;
  const uint64_t first = log.Issue("e0");
  CHECK_FALSE(log.End(log.r1, "e0", first, v1::DONE));
  CHECK(log.Take(log.r1, "e0", first));
  CHECK_FALSE(log.End(log.r2, "e0", first, v1::DONE));
  CHECK_FALSE(log.End(log.r1, "e0", first, v1::SETTLED));
  CHECK_FALSE(log.End(log.alice, "e0", first, v1::DONE));
  CHECK(log.End(log.r1, "e0", first, v1::DONE));
  CHECK_FALSE(log.End(log.r1, "e0", first, v1::REFUSED));
  CHECK_FALSE(log.End(log.alice, "e0", first, v1::SETTLED));
  LONGS_EQUAL(v1::DONE, log.order("e0").outcome);
}

TEST(Orders, an_order_handed_back_may_be_taken_by_another) {
  Engines log;
  const uint64_t first = log.Issue("blind");
  CHECK(log.Take(log.r1, "blind", first));
  CHECK(log.End(log.r1, "blind", first, v1::HANDED_BACK));
  CHECK(log.Take(log.r2, "blind", first));
}

// Three routers are to load a model each at the same time. The weight store is
// rate-limited, so the third waits until one of the others is done.
TEST(Orders, no_more_loads_are_taken_than_the_limit) {
  Engines log;
  const uint64_t a = log.Issue("e0");
  const uint64_t b = log.Issue("e1");
  const uint64_t c = log.Issue("e2");
  CHECK(log.Take(log.r1, "e0", a));
  CHECK(log.Take(log.r2, "e1", b));
  const auto refused = log.Write(log.r3, MakeOrderTaken("e2", c));
  CHECK(Find<OrderTakeRefused>(refused)->reason ==
        OrderTakeRefusal::kLoadLimitReached);
  CHECK(log.End(log.r1, "e0", a, v1::DONE));
  CHECK(log.Take(log.r3, "e2", c));
}

TEST(Orders, a_snapshot_keeps_who_took_an_order_and_its_outcome) {
  Engines log;
  const uint64_t taken = log.Issue("blind");
  CHECK(log.Take(log.r1, "blind", taken));
  const uint64_t done = log.Issue("e0");
  CHECK(log.Take(log.r2, "e0", done));
  CHECK(log.End(log.r2, "e0", done, v1::DONE));
  const auto resumed = Fold::FromState(log.fold().ToState());
  CHECK(core::IsOk(resumed));
  const Fold& fold = core::Value(resumed);
  CHECK(fold.Digest() == log.fold().Digest());
  STRCMP_EQUAL(
      "r1", fold.FindOrder(core::UpstreamId("blind"))->holder.value().c_str());
  LONGS_EQUAL(v1::DONE, fold.FindOrder(core::UpstreamId("e0"))->outcome);
}

}  // namespace coppervalve::ledger
