#include "apps/coppervalve/audit.h"

#include <boost/json/array.hpp>
#include <cstdint>        // uint64_t
#include <unordered_map>  // unordered_map
#include <variant>        // get_if, holds_alternative

namespace coppervalve::cli {

namespace {

using core::ErrorId;
using core::Tokens;

// Totals computed from the log's effects, independently of the fold's balances.
struct Totals {
  uint64_t entries = 0;
  uint64_t ignored = 0;
  uint64_t snapshots_matched = 0;
  std::unordered_map<core::BudgetId, Tokens> paid_in;

  void CountEffects(const std::vector<ledger::Effect>& effects) {
    ++entries;
    for (const ledger::Effect& effect : effects) {
      if (std::holds_alternative<ledger::EntryIgnored>(effect)) {
        ++ignored;
      }
      if (std::holds_alternative<ledger::SnapshotMatched>(effect)) {
        ++snapshots_matched;
      }
      if (const auto* paid = std::get_if<ledger::PaidIn>(&effect)) {
        paid_in[paid->budget] += paid->tokens;
      }
    }
  }
};

bool IsConserved(const ledger::Budget& budget) {
  return budget.free >= Tokens(0) && budget.held >= Tokens(0) &&
         budget.paid_in ==
             budget.free + budget.held + budget.billed + budget.written_off;
}

// @return the first budget that does not balance; empty when all do
std::string FindUnbalanced(const LogView& view, const Totals& totals) {
  const bool complete = view.started_at() == core::LogOffset(0);
  for (const ledger::Budget* budget : view.fold().Budgets()) {
    const auto paid = totals.paid_in.find(budget->id);
    const Tokens seen = paid == totals.paid_in.end() ? Tokens(0) : paid->second;
    if (!IsConserved(*budget) || (complete && seen != budget->paid_in)) {
      return budget->id.value();
    }
  }
  return {};
}

std::string Line(const char* name, uint64_t number) {
  return std::string(name) + " " + std::to_string(number) + "\n";
}

ExitCode PrintReport(const Session& session,
                     const LogView& view,
                     const Totals& totals) {
  boost::json::array list;
  TextTable table(
      {"BUDGET", "PAID-IN", "= FREE", "+ HELD", "+ BILLED", "+ WRITTEN-OFF"});
  for (const ledger::Budget* budget : view.fold().Budgets()) {
    list.push_back(
        boost::json::object{{"id", budget->id.value()},
                            {"paid_in", budget->paid_in.value()},
                            {"free", budget->free.value()},
                            {"held", budget->held.value()},
                            {"billed", budget->billed.value()},
                            {"written_off", budget->written_off.value()}});
    table.Add({budget->id.value(), std::to_string(budget->paid_in.value()),
               std::to_string(budget->free.value()),
               std::to_string(budget->held.value()),
               std::to_string(budget->billed.value()),
               std::to_string(budget->written_off.value())});
  }
  const uint64_t next = view.fold().next_offset().value();
  session.printer().Print(
      {{"ok", true},
       {"from_offset", view.started_at().value()},
       {"next_offset", next},
       {"entries", totals.entries},
       {"ignored", totals.ignored},
       {"snapshots_matched", totals.snapshots_matched},
       {"digest", ToHex(view.fold().Digest())},
       {"budgets", list}},
      table.ToString() + Line("from offset", view.started_at().value()) +
          Line("next offset", next) + Line("entries", totals.entries) +
          Line("ignored", totals.ignored) +
          Line("snapshots matched", totals.snapshots_matched) + "digest " +
          ToHex(view.fold().Digest()) + "\nconserved\n");
  return ExitCode::kOk;
}

}  // namespace

ExitCode Audit(const Session& session) {
  Totals totals;
  // The fold checks each entry and reports violations as a failed read.
  const core::Result<LogView> read = session.ReadLog(
      LogView::Start::kOldest,
      [&totals](core::LogOffset, const v1::Entry&, const auto& effects) {
        totals.CountEffects(effects);
      });
  if (!core::IsOk(read)) {
    return session.printer().Fail(core::Failure(read));
  }
  const LogView& view = core::Value(read);
  const core::Status recomputed = view.fold().CheckConservation();
  if (!core::IsOk(recomputed)) {
    return session.printer().Fail(core::Failure(recomputed));
  }
  const std::string unbalanced = FindUnbalanced(view, totals);
  if (!unbalanced.empty()) {
    return session.printer().Fail(
        {ErrorId::kAuditFailed, unbalanced, "the balance does not add up"});
  }
  return PrintReport(session, view, totals);
}

}  // namespace coppervalve::cli
