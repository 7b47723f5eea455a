#include <optional>  // optional
#include <utility>   // move
#include <variant>   // get_if

#include "apps/coppervalve/budget_commands.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;

// Copied from the fold, which may remove the member as it reads more entries.
struct Quarantine {
  core::RouterId router;
  core::Incarnation incarnation;
  core::LogOffset retired_offset;
  ledger::Holding holding;
};

// Retired incarnations of the router that still hold tokens of the budget.
std::vector<Quarantine> FindQuarantines(const ledger::Fold& fold,
                                        const ReleaseArguments& arguments) {
  std::vector<Quarantine> found;
  for (const ledger::Member* member : fold.RetiredMembers()) {
    const std::string incarnation = ToHex(member->incarnation.value());
    if (member->id.value() != arguments.router ||
        (!arguments.incarnation.empty() &&
         arguments.incarnation != incarnation)) {
      continue;
    }
    const auto holding =
        member->holdings.find(core::BudgetId(arguments.budget));
    if (holding != member->holdings.end() &&
        holding->second.held() > core::Tokens(0)) {
      found.push_back({member->id, member->incarnation, member->retired_offset,
                       holding->second});
    }
  }
  return found;
}

core::Result<Quarantine> Choose(const ledger::Fold& fold,
                                const ReleaseArguments& arguments) {
  if (fold.FindBudget(core::BudgetId(arguments.budget)) == nullptr) {
    return core::Error{ErrorId::kUnknownBudget, arguments.budget,
                       "no accepted configuration names it"};
  }
  const std::vector<Quarantine> found = FindQuarantines(fold, arguments);
  if (found.empty()) {
    return core::Error{ErrorId::kUnknownRouter, arguments.router,
                       "no retired incarnation holds tokens of this budget"};
  }
  if (found.size() > 1) {
    std::string choices;
    for (const Quarantine& one : found) {
      choices += " " + ToHex(one.incarnation.value());
    }
    return core::Error{ErrorId::kOperatorUsage, "--incarnation",
                       "several are quarantined:" + choices};
  }
  return found.front();
}

std::string DescribeRisk(const Quarantine& one, const std::string& budget) {
  const std::string tokens = std::to_string(one.holding.held().value());
  const std::string name = one.router.value() + " (incarnation " +
                           ToHex(one.incarnation.value()) + ")";
  return "budget " + budget + ": " + tokens + " tokens are quarantined for " +
         name + ", retired at offset " +
         std::to_string(one.retired_offset.value()) + ".\nreported spend " +
         std::to_string(one.holding.spent.value()) + ", transferred out " +
         std::to_string(one.holding.transferred_out.value()) +
         ".\nAt stake: what that process spent without reporting, or will "
         "still spend, comes on\ntop of the prepaid tokens, up to " +
         tokens +
         ". Make sure that its VM is gone or the process has ended, and\nthat "
         "its last answers are accounted for, before you release.\n";
}

// Tokens that the fold released for this router and budget.
core::Tokens ReleasedBy(const std::vector<ledger::Effect>& effects,
                        const Quarantine& one,
                        const std::string& budget) {
  core::Tokens released;
  for (const ledger::Effect& effect : effects) {
    const auto* changed = std::get_if<ledger::QuarantineChanged>(&effect);
    if (changed != nullptr && changed->incarnation == one.incarnation &&
        changed->budget.value() == budget) {
      released += changed->released;
    }
  }
  return released;
}

v1::Record RecordOf(const Session& session,
                    const Quarantine& one,
                    const std::string& budget) {
  v1::Record record;
  v1::QuarantineReleased& released = *record.mutable_quarantine_released();
  released.set_router(one.router.value());
  released.set_incarnation(one.incarnation.value());
  released.set_budget(budget);
  released.set_tokens(one.holding.held().value());
  released.set_operator_name(session.options().operator_name);
  return record;
}

ExitCode Release(const Session& session,
                 LogView& view,
                 const Quarantine& one,
                 const std::string& budget) {
  const core::Result<v1::Entry> entry =
      session.NewEntry(view, RecordOf(session, one, budget));
  if (!core::IsOk(entry)) {
    return session.printer().Fail(core::Failure(entry));
  }
  core::Tokens released;
  const uint64_t own = core::Value(entry).incarnation();
  const core::Status appended = session.AppendAndRead(
      view, core::Value(entry),
      [&](core::LogOffset, const v1::Entry& folded, const auto& effects) {
        if (folded.incarnation() == own) {
          released += ReleasedBy(effects, one, budget);
        }
      });
  if (released == core::Tokens(0)) {
    return session.printer().Fail(
        core::IsOk(appended)
            ? core::Error{ErrorId::kUnknownRouter, one.router.value(),
                          "nothing was left to release"}
            : core::Failure(appended));
  }
  session.printer().Print(
      {{"ok", true},
       {"budget", budget},
       {"router", one.router.value()},
       {"incarnation", ToHex(one.incarnation.value())},
       {"released", released.value()}},
      "released " + std::to_string(released.value()) + " tokens to " + budget);
  return ExitCode::kOk;
}

}  // namespace

ExitCode ReleaseBudget(const Session& session,
                       const ReleaseArguments& arguments) {
  core::Result<LogView> read = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(read)) {
    return session.printer().Fail(core::Failure(read));
  }
  LogView view = core::TakeValue(std::move(read));
  const core::Result<Quarantine> chosen = Choose(view.fold(), arguments);
  if (!core::IsOk(chosen)) {
    return session.printer().Fail(core::Failure(chosen));
  }
  if (arguments.yes) {
    return Release(session, view, core::Value(chosen), arguments.budget);
  }
  return session.printer().Fail(
      {ErrorId::kOperatorUsage, "--yes", "nothing was released without it"},
      {{"at_stake", core::Value(chosen).holding.held().value()}},
      DescribeRisk(core::Value(chosen), arguments.budget));
}

}  // namespace coppervalve::cli
