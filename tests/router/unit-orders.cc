#include "fleet_fixture.h"

namespace coppervalve::trial {

using std::chrono::seconds;

namespace {

const core::UpstreamId kChecking("engine-0");
const core::UpstreamId kIgnoring("engine-1");

/// @brief Pauses the first router that is about to send to an upstream.
struct PauseSender {
  PauseSender(Fleet& fleet, const core::UpstreamId& upstream) {
    fleet.SetOnLogLine(
        [this, &fleet, upstream](size_t node, const router::LogLine& line) {
          if (line.event == "order_sent" && !sender.has_value() &&
              line.fields.front().second == upstream.value()) {
            sender = node;
            fleet.node(node).Pause();
          }
        });
  }
  std::optional<size_t> sender;
};

core::FencingNumber InForce(RunningFleet& run, const core::UpstreamId& id) {
  return run.audit.fold().FindOrder(id)->fencing;
}

}  // namespace

// clang-format off
TEST_GROUP(FleetOrders){};
// clang-format on

TEST(FleetOrders, an_order_reaches_its_engine_once_and_is_done) {
  RunningFleet run;
  run.fleet.Order(kIgnoring, "chat-8");
  run.Run(seconds(5));
  LONGS_EQUAL(1, run.fleet.engine_orders().AppliedAt(kIgnoring.value()).size());
  LONGS_EQUAL(v1::DONE, run.audit.fold().FindOrder(kIgnoring)->outcome);
}

// The sender is paused before its first byte. Meanwhile another router delivers
// a newer order. After the sender resumes, the engine refuses its order and
// keeps the newer one.
TEST(FleetOrders, a_paused_senders_order_is_refused_by_a_checking_engine) {
  RunningFleet run;
  PauseSender pause(run.fleet, kChecking);
  run.fleet.Order(kChecking, "older");
  run.Run(seconds(5));
  CHECK(pause.sender.has_value());
  run.fleet.Order(kChecking, "newer");
  run.Run(seconds(20));
  LONGS_EQUAL(1, run.fleet.engine_orders().AppliedAt(kChecking.value()).size());
  run.fleet.node(*pause.sender).Resume();
  run.Run(seconds(10));
  const auto applied = run.fleet.engine_orders().AppliedAt(kChecking.value());
  LONGS_EQUAL(1, applied.size());
  CHECK(applied[0] == InForce(run, kChecking));
  LONGS_EQUAL(v1::DONE, run.audit.fold().FindOrder(kChecking)->outcome);
}

// The same with an engine that ignores fencing numbers and would accept the
// late order. The newer order is not issued while the sender may return, even
// after its retirement, until the operator confirms that it has ended.
TEST(FleetOrders, a_paused_senders_order_to_an_ignoring_engine_comes_first) {
  RunningFleet run;
  PauseSender pause(run.fleet, kIgnoring);
  run.fleet.Order(kIgnoring, "older");
  run.Run(seconds(5));
  const core::FencingNumber older = InForce(run, kIgnoring);
  run.Run(seconds(20));
  run.fleet.Order(kIgnoring, "newer");
  run.Run(seconds(20));
  CHECK(InForce(run, kIgnoring) == older);
  CHECK(run.fleet.engine_orders().applied().empty());
  run.fleet.node(*pause.sender).Resume();
  run.Run(seconds(10));
  run.fleet.SettleOrder(kIgnoring, older);
  run.fleet.Order(kIgnoring, "newer");
  run.Run(seconds(10));
  const auto applied = run.fleet.engine_orders().AppliedAt(kIgnoring.value());
  LONGS_EQUAL(2, applied.size());
  CHECK(applied[0] == older);
  CHECK(applied[1] == InForce(run, kIgnoring));
}

// The router crashes right after it took an order. If the engine checks fencing
// numbers, another router sends it after the retirement, without an operator.
TEST(FleetOrders,
     a_dead_senders_order_to_a_checking_engine_is_sent_by_another) {
  RunningFleet run;
  PauseSender pause(run.fleet, kChecking);
  run.fleet.Order(kChecking, "chat-8");
  run.Run(seconds(5));
  run.fleet.node(*pause.sender).Kill();
  run.Run(seconds(25));
  LONGS_EQUAL(1, run.fleet.engine_orders().AppliedAt(kChecking.value()).size());
  LONGS_EQUAL(v1::DONE, run.audit.fold().FindOrder(kChecking)->outcome);
}

}  // namespace coppervalve::trial
