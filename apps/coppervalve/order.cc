#include "apps/coppervalve/order.h"

#include <optional>  // optional
#include <utility>   // move
#include <variant>   // get_if

namespace coppervalve::cli {

namespace {

using core::ErrorId;

const v1::Upstream* FindEngine(const v1::Configuration& configuration,
                               const std::string& id) {
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    if (upstream.id() == id && upstream.kind() == v1::MODEL_ENGINE) {
      return &upstream;
    }
  }
  return nullptr;
}

v1::Record RecordOf(const OrderArguments& arguments) {
  v1::Record record;
  v1::OrderIssued& order = *record.mutable_order_issued();
  order.set_upstream(arguments.upstream);
  if (!arguments.load_model.empty()) {
    order.set_load_model(arguments.load_model);
  } else if (!arguments.load_adapter.empty()) {
    order.set_load_adapter(arguments.load_adapter);
  } else {
    order.set_change_role(arguments.change_role);
  }
  return record;
}

ExitCode PrintOrder(const Session& session,
                    const v1::Upstream& engine,
                    core::FencingNumber fencing) {
  session.printer().Print(
      {{"ok", true},
       {"upstream", engine.id()},
       {"fencing_number", fencing.value()},
       {"checks_fencing", engine.checks_fencing()}},
      "order to " + engine.id() + " in force with fencing number " +
          std::to_string(fencing.value()) +
          (engine.checks_fencing() ? ""
                                   : "; this engine ignores fencing numbers"));
  return ExitCode::kOk;
}

}  // namespace

ExitCode IssueOrder(const Session& session, const OrderArguments& arguments) {
  core::Result<LogView> read = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(read)) {
    return session.printer().Fail(core::Failure(read));
  }
  LogView view = core::TakeValue(std::move(read));
  const auto configuration = view.fold().configuration();
  const v1::Upstream* engine = FindEngine(*configuration, arguments.upstream);
  if (engine == nullptr) {
    return session.printer().Fail(
        {ErrorId::kConfigUnknownReference, arguments.upstream,
         "the configuration in force has no model engine with this id"});
  }
  const core::Result<v1::Entry> entry =
      session.NewEntry(view, RecordOf(arguments));
  if (!core::IsOk(entry)) {
    return session.printer().Fail(core::Failure(entry));
  }
  const uint64_t own = core::Value(entry).incarnation();
  std::optional<core::FencingNumber> fencing;
  std::optional<core::FencingNumber> unsettled;
  const core::Status appended = session.AppendAndRead(
      view, core::Value(entry),
      [&](core::LogOffset, const v1::Entry& folded, const auto& effects) {
        for (const ledger::Effect& effect : effects) {
          if (folded.incarnation() != own) {
            continue;
          }
          const auto* order = std::get_if<ledger::OrderInForce>(&effect);
          if (order != nullptr && !fencing) {
            fencing = order->fencing;
          }
          if (const auto* order_refused =
                  std::get_if<ledger::OrderRefused>(&effect)) {
            unsettled = order_refused->unsettled;
          }
        }
      });
  if (fencing) {
    return PrintOrder(session, *engine, *fencing);
  }
  if (unsettled) {
    return session.printer().Fail(
        {ErrorId::kOrderFenced, arguments.upstream,
         "order " + std::to_string(unsettled->value()) +
             " may still reach this engine, which ignores fencing numbers; see "
             "`coppervalve orders settle`"});
  }
  return session.printer().Fail(
      core::IsOk(appended)
          ? core::Error{ErrorId::kOrderFenced, arguments.upstream,
                        "the order is in the log but had no effect"}
          : core::Failure(appended));
}

}  // namespace coppervalve::cli
