#include <algorithm>  // find_if

#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

using core::FencingNumber;
using core::UpstreamId;

namespace {

const v1::Upstream* FindUpstream(const State& state, const std::string& id) {
  const auto& upstreams = state.config.configuration->upstreams();
  const auto found = std::find_if(
      upstreams.begin(), upstreams.end(),
      [&id](const v1::Upstream& upstream) { return upstream.id() == id; });
  return found == upstreams.end() ? nullptr : &*found;
}

// An upstream that is no longer configured is assumed not to check fencing
// numbers.
bool ChecksFencing(const State& state, const std::string& id) {
  const v1::Upstream* upstream = FindUpstream(state, id);
  return upstream != nullptr && upstream->checks_fencing();
}

bool HolderIsLive(const State& state, const Order& order) {
  const Member* holder =
      state.members.Find(order.holder, order.holder_incarnation);
  return holder != nullptr && holder->live();
}

bool IsHolder(const Order& order, const Member& member) {
  return order.holder == member.id &&
         order.holder_incarnation == member.incarnation;
}

Order* FindOrder(State& state, const std::string& id) {
  const auto found = state.orders.find(UpstreamId(id));
  return found == state.orders.end() ? nullptr : &found->second;
}

// A paused router may resume and send an order that it took long ago. An engine
// that checks fencing numbers refuses it; any other would silently replace the
// newer order by the older one. So a newer order is not issued before the older
// one is settled. This is sufficient, because routers send only orders that
// they have taken in the log, and an order that was not taken can no longer be
// taken once a newer one is in force.
bool MayStillArrive(const State& state, const Order& order) {
  return order.taken() && !order.settled() &&
         !ChecksFencing(state, order.order.upstream());
}

std::optional<OrderTakeRefusal> CheckTake(const State& state,
                                          const Order* order,
                                          const v1::OrderTaken& r) {
  if (order == nullptr || !order->open() ||
      order->fencing != FencingNumber(r.fencing_number())) {
    return OrderTakeRefusal::kNotInForce;
  }
  // A retired holder may be paused and still send the order later. A second
  // sender is safe only if the engine can tell the late order from newer ones
  // by its fencing number.
  if (order->taken() &&
      (HolderIsLive(state, *order) || !ChecksFencing(state, r.upstream()))) {
    return OrderTakeRefusal::kHeld;
  }
  if (order->loads() && AvailableLoads(state) == 0) {
    return OrderTakeRefusal::kLoadLimitReached;
  }
  return std::nullopt;
}

bool IsRouterOutcome(v1::OrderOutcome outcome) {
  return outcome == v1::DONE || outcome == v1::REFUSED ||
         outcome == v1::NOT_SENT || outcome == v1::OUTCOME_UNKNOWN ||
         outcome == v1::HANDED_BACK;
}

std::optional<IgnoreReason> CheckEnd(EntryContext& context,
                                     const Order* order,
                                     const v1::OrderEnded& r) {
  if (order == nullptr) {
    return IgnoreReason::kUnknownUpstream;
  }
  if (order->fencing != FencingNumber(r.fencing_number())) {
    return IgnoreReason::kStale;
  }
  if (order->settled()) {
    return IgnoreReason::kDuplicate;
  }
  if (context.from_operator()) {
    if (r.outcome() != v1::SETTLED) {
      return IgnoreReason::kNotAllowed;
    }
    // The holder is live and may be sending the order now. If it were settled,
    // the order could take effect after a newer one. The holder reports an
    // outcome within a bounded number of attempts, or is retired.
    return MayStillArrive(context.state(), *order) && order->open() &&
                   HolderIsLive(context.state(), *order)
               ? std::optional(IgnoreReason::kOrderInProgress)
               : std::nullopt;
  }
  // Only while open: handing back an order with an unknown outcome would hide
  // that it may still arrive.
  return order->open() && IsRouterOutcome(r.outcome()) &&
                 IsHolder(*order, *context.writer())
             ? std::nullopt
             : std::optional(IgnoreReason::kNotAllowed);
}

}  // namespace

size_t AvailableLoads(const State& state) {
  size_t loading = 0;
  for (const auto& [upstream, order] : state.orders) {
    const bool counts =
        order.loads() && order.open() && HolderIsLive(state, order);
    loading += counts ? 1 : 0;
  }
  const size_t limit = state.settings.max_loads;
  return loading < limit ? limit - loading : 0;
}

void FoldOrderIssued(EntryContext& context,
                     const v1::OrderIssued& r,
                     size_t index) {
  State& state = context.state();
  if (FindUpstream(state, r.upstream()) == nullptr) {
    context.Ignore(IgnoreReason::kUnknownUpstream);
    return;
  }
  if (context.from_operator() && !RegisterOperatorRecord(context, index)) {
    return;
  }
  const UpstreamId upstream(r.upstream());
  const Order* before = FindOrder(state, r.upstream());
  if (before != nullptr && MayStillArrive(state, *before)) {
    context.Emit(OrderRefused{upstream, before->fencing});
    return;
  }
  const FencingNumber fencing(context.offset().value());
  Order order;
  order.fencing = fencing;
  order.order = r;
  state.orders[upstream] = std::move(order);
  context.Emit(OrderInForce{upstream, fencing, r});
}

void FoldOrderTaken(EntryContext& context, const v1::OrderTaken& r) {
  Order* order = FindOrder(context.state(), r.upstream());
  const Member& writer = *context.writer();
  const UpstreamId upstream(r.upstream());
  const FencingNumber fencing(r.fencing_number());
  if (const auto refusal = CheckTake(context.state(), order, r)) {
    context.Emit(OrderTakeRefused{*refusal, writer.id, writer.incarnation,
                                  upstream, fencing});
    return;
  }
  order->holder = writer.id;
  order->holder_incarnation = writer.incarnation;
  context.Emit(OrderTaken{writer.id, writer.incarnation, upstream, fencing});
}

void FoldOrderEnded(EntryContext& context,
                    const v1::OrderEnded& r,
                    size_t index) {
  if (context.from_operator() && !RegisterOperatorRecord(context, index)) {
    return;
  }
  Order* order = FindOrder(context.state(), r.upstream());
  if (const auto reason = CheckEnd(context, order, r)) {
    context.Ignore(*reason);
    return;
  }
  if (r.outcome() == v1::HANDED_BACK) {
    order->holder = core::RouterId();
    order->holder_incarnation = core::Incarnation();
  } else {
    order->outcome = r.outcome();
  }
  context.Emit(
      OrderEnded{UpstreamId(r.upstream()), order->fencing, r.outcome()});
}

}  // namespace coppervalve::ledger::detail
