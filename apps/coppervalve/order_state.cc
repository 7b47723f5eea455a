#include "apps/coppervalve/order_state.h"

#include <boost/json/array.hpp>
#include <optional>  // optional
#include <utility>   // move
#include <variant>   // get_if

namespace coppervalve::cli {

namespace {

using core::ErrorId;

std::string TextOf(const v1::OrderIssued& order) {
  if (order.has_load_model()) {
    return "load model " + order.load_model();
  }
  if (order.has_load_adapter()) {
    return "load adapter " + order.load_adapter();
  }
  return "change role " + order.change_role();
}

std::string StateOf(const ledger::Order& order) {
  if (!order.open()) {
    return v1::OrderOutcome_Name(order.outcome);
  }
  return order.taken() ? "UNDER_WAY" : "WAITING";
}

std::string HolderOf(const ledger::Order& order) {
  return order.taken() ? order.holder.value() + " (incarnation " +
                             ToHex(order.holder_incarnation.value()) + ")"
                       : "";
}

std::string DescribeRisk(const ledger::Order& order) {
  return "order " + std::to_string(order.fencing.value()) + " to " +
         order.order.upstream() + " (" + TextOf(order.order) + ") is " +
         StateOf(order) + ", taken by " +
         (order.taken() ? HolderOf(order) : "nobody") +
         ".\nAt stake: while that process lives, paused or cut off, it may "
         "still "
         "deliver the order,\nand an engine that ignores fencing numbers would "
         "leave a newer one for it. Make sure\nthat its VM is gone or the "
         "process has ended, and look at what the engine has loaded,\nbefore "
         "you settle.\n";
}

v1::Record RecordOf(const ledger::Order& order) {
  v1::Record record;
  v1::OrderEnded& ended = *record.mutable_order_ended();
  ended.set_upstream(order.order.upstream());
  ended.set_fencing_number(order.fencing.value());
  ended.set_outcome(v1::SETTLED);
  return record;
}

core::Error SettleError(const std::string& upstream,
                        const std::optional<ledger::IgnoreReason>& reason) {
  return {ErrorId::kOrderFenced, upstream,
          reason == ledger::IgnoreReason::kOrderInProgress
              ? "its router is live and has yet to report the outcome"
              : "it has ended or was superseded in the meantime"};
}

ExitCode Settle(const Session& session,
                LogView& view,
                const ledger::Order& order) {
  const core::Result<v1::Entry> entry = session.NewEntry(view, RecordOf(order));
  if (!core::IsOk(entry)) {
    return session.printer().Fail(core::Failure(entry));
  }
  bool settled = false;
  std::optional<ledger::IgnoreReason> reason;
  const core::Status appended = session.AppendAndRead(
      view, core::Value(entry),
      [&](core::LogOffset, const v1::Entry& folded, const auto& effects) {
        if (folded.incarnation() != core::Value(entry).incarnation()) {
          return;
        }
        for (const ledger::Effect& effect : effects) {
          settled =
              settled || std::get_if<ledger::OrderEnded>(&effect) != nullptr;
          if (const auto* ignored =
                  std::get_if<ledger::EntryIgnored>(&effect)) {
            reason = ignored->reason;
          }
        }
      });
  const std::string& upstream = order.order.upstream();
  if (!settled) {
    return session.printer().Fail(core::IsOk(appended)
                                      ? SettleError(upstream, reason)
                                      : core::Failure(appended));
  }
  session.printer().Print({{"ok", true},
                           {"upstream", upstream},
                           {"fencing_number", order.fencing.value()}},
                          "settled order " +
                              std::to_string(order.fencing.value()) + " to " +
                              upstream);
  return ExitCode::kOk;
}

}  // namespace

ExitCode ListOrders(const Session& session) {
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  boost::json::array list;
  TextTable table({"UPSTREAM", "FENCING", "ORDER", "STATE", "TAKEN-BY"});
  for (const ledger::Order* order : core::Value(view).fold().Orders()) {
    const std::string& upstream = order->order.upstream();
    list.push_back(
        boost::json::object{{"upstream", upstream},
                            {"fencing_number", order->fencing.value()},
                            {"order", TextOf(order->order)},
                            {"state", StateOf(*order)},
                            {"taken_by", HolderOf(*order)}});
    table.Add({upstream, std::to_string(order->fencing.value()),
               TextOf(order->order), StateOf(*order), HolderOf(*order)});
  }
  session.printer().Print({{"orders", list}}, table.ToString());
  return ExitCode::kOk;
}

ExitCode SettleOrder(const Session& session, const SettleArguments& arguments) {
  core::Result<LogView> read = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(read)) {
    return session.printer().Fail(core::Failure(read));
  }
  LogView view = core::TakeValue(std::move(read));
  const ledger::Order* found =
      view.fold().FindOrder(core::UpstreamId(arguments.upstream));
  if (found == nullptr || found->settled()) {
    return session.printer().Fail({ErrorId::kOrderFenced, arguments.upstream,
                                   "no order to it is unsettled"});
  }
  // Copied, because settling reads more entries, which changes the fold.
  const ledger::Order order = *found;
  if (arguments.yes) {
    return Settle(session, view, order);
  }
  return session.printer().Fail(
      {ErrorId::kOperatorUsage, "--yes", "nothing was settled without it"},
      {{"fencing_number", order.fencing.value()}, {"state", StateOf(order)}},
      DescribeRisk(order));
}

}  // namespace coppervalve::cli
