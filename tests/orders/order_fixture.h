#ifndef TESTS_ORDERS_ORDER_FIXTURE_H_
#define TESTS_ORDERS_ORDER_FIXTURE_H_

#include <functional>  // function
#include <set>         // set
#include <variant>     // get_if
#include <vector>      // vector

#include "../ledger/test_log.h"
#include "coppervalve/orders/order_manager.h"

namespace coppervalve::orders {

/// @brief Three routers on one log. `reply` returns the outcome of each send;
/// routers in `halted` are skipped.
struct OrderFleet : ledger::TestLog {
  struct Sent {
    size_t router;
    DeliverOrder command;
  };

  explicit OrderFleet(const std::vector<std::string>& checking = {}) {
    v1::Record record = ledger::Publish(0, 1000, "c1");
    v1::Configuration& configuration =
        *record.mutable_config_published()->mutable_configuration();
    configuration.clear_upstreams();
    configuration.add_upstreams()->set_id("blind");
    for (const std::string& id : checking) {
      v1::Upstream& engine = *configuration.add_upstreams();
      engine.set_id(id);
      engine.set_checks_fencing(true);
    }
    Write(alice, record);
    for (ledger::Writer& router : routers) {
      Write(router, ledger::Join());
      managers.emplace_back(membership::MemberId{
          core::RouterId(router.id), core::Incarnation(router.incarnation)});
    }
  }

  core::FencingNumber Issue(const std::string& upstream) {
    const core::FencingNumber fencing(next());
    Write(alice, ledger::OrderModel(upstream));
    return fencing;
  }

  void Run(core::Duration duration) {
    const core::TimePoint end = now + duration;
    for (; now < end; now += std::chrono::milliseconds(100)) {
      for (size_t router = 0; router < managers.size(); ++router) {
        Step(router);
      }
    }
  }

  void Step(size_t router) {
    if (halted.contains(router)) {
      return;
    }
    managers[router].Update(now, fold());
    Permit permit{!stale.contains(router), draining.contains(router)};
    for (const Command& command : managers[router].Pump(now, permit)) {
      if (const auto* send = std::get_if<DeliverOrder>(&command)) {
        sent.push_back({router, *send});
        if (reply) {
          managers[router].OnSent(now, send->upstream, send->fencing,
                                  reply(*send));
        }
        continue;
      }
      Execute(router, command);
    }
  }

  void Execute(size_t router, const Command& command) {
    v1::Record record;
    if (const auto* take = std::get_if<TakeOrder>(&command)) {
      record.mutable_order_taken()->set_upstream(take->upstream.value());
      record.mutable_order_taken()->set_fencing_number(take->fencing.value());
    } else if (const auto* state = std::get_if<EndOrder>(&command)) {
      v1::OrderEnded& ended = *record.mutable_order_ended();
      ended.set_upstream(state->upstream.value());
      ended.set_fencing_number(state->fencing.value());
      ended.set_outcome(state->outcome);
    }
    const auto effects = Write(routers[router], record);
    if (const auto* no = ledger::Find<ledger::OrderTakeRefused>(effects)) {
      managers[router].OnTakeRefused(now, no->upstream, no->fencing);
    }
  }

  v1::OrderOutcome Outcome(const std::string& upstream) {
    return fold().FindOrder(core::UpstreamId(upstream))->outcome;
  }
  void RetireRouter(size_t router) {
    Write(routers[router == 0 ? 1 : 0],
          ledger::Retire(routers[router], routers[router].sequence));
  }

  ledger::Writer alice{"operator:alice", 11};
  std::vector<ledger::Writer> routers{{"r1", 1}, {"r2", 2}, {"r3", 3}};
  std::vector<OrderManager> managers;
  std::function<SendOutcome(const DeliverOrder&)> reply;
  std::set<size_t> halted;
  std::set<size_t> stale;
  std::set<size_t> draining;
  std::vector<Sent> sent;
  core::TimePoint now{std::chrono::seconds(100)};
};

}  // namespace coppervalve::orders

#endif  // TESTS_ORDERS_ORDER_FIXTURE_H_
