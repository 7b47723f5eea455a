#include "apps/coppervalve/budget_commands.h"

#include <boost/json/array.hpp>

namespace coppervalve::cli {

namespace {

using core::ErrorId;

std::string Text(core::Tokens tokens) {
  return std::to_string(tokens.value());
}

boost::json::object ToJson(const ledger::Budget& budget) {
  return {{"id", budget.id.value()},
          {"paid_in", budget.paid_in.value()},
          {"free", budget.free.value()},
          {"held", budget.held.value()},
          {"quarantined", budget.quarantined.value()},
          {"billed", budget.billed.value()},
          {"written_off", budget.written_off.value()},
          {"configured", budget.configured}};
}

TextTable BudgetTable() {
  return TextTable({"BUDGET", "PAID-IN", "FREE", "HELD", "QUARANTINED",
                    "BILLED", "WRITTEN-OFF"});
}

void AddRow(const ledger::Budget& budget, TextTable& table) {
  table.Add({budget.id.value(), Text(budget.paid_in), Text(budget.free),
             Text(budget.held), Text(budget.quarantined), Text(budget.billed),
             Text(budget.written_off)});
}

// The holdings of one budget at all live and retired routers.
class HoldingList {
 public:
  HoldingList(const ledger::Fold& fold, const core::BudgetId& budget)
      : m_budget(budget) {
    AddAll(fold.LiveMembers());
    AddAll(fold.RetiredMembers());
  }

  const boost::json::array& list() const { return m_list; }
  std::string ToText() const { return m_table.ToString(); }

 private:
  void AddAll(const std::vector<const ledger::Member*>& members) {
    for (const ledger::Member* member : members) {
      const auto found = member->holdings.find(m_budget);
      if (found == member->holdings.end()) {
        continue;
      }
      Add(*member, found->second);
    }
  }

  void Add(const ledger::Member& member, const ledger::Holding& holding) {
    const std::string incarnation = ToHex(member.incarnation.value());
    const std::string phase = member.live() ? "live" : "retired";
    m_list.push_back(boost::json::object{
        {"router", member.id.value()},
        {"incarnation", incarnation},
        {"phase", phase},
        {"held", holding.held().value()},
        {"spent", holding.spent.value()},
        {"transferred_out", holding.transferred_out.value()}});
    m_table.Add({member.id.value(), incarnation, phase, Text(holding.held()),
                 Text(holding.spent), Text(holding.transferred_out)});
  }

  core::BudgetId m_budget;
  boost::json::array m_list;
  TextTable m_table{
      {"ROUTER", "INCARNATION", "PHASE", "HELD", "SPENT", "TRANSFERRED-OUT"}};
};

core::Error UnknownBudget(const std::string& budget) {
  return {ErrorId::kUnknownBudget, budget,
          "no accepted configuration names it"};
}

}  // namespace

ExitCode ListBudgets(const Session& session) {
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  boost::json::array list;
  TextTable table = BudgetTable();
  for (const ledger::Budget* budget : core::Value(view).fold().Budgets()) {
    list.push_back(ToJson(*budget));
    AddRow(*budget, table);
  }
  session.printer().Print({{"budgets", list}}, table.ToString());
  return ExitCode::kOk;
}

ExitCode ShowBudget(const Session& session, const std::string& budget) {
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  const ledger::Fold& fold = core::Value(view).fold();
  const core::BudgetId id(budget);
  const ledger::Budget* found = fold.FindBudget(id);
  if (found == nullptr) {
    return session.printer().Fail(UnknownBudget(budget));
  }
  TextTable table = BudgetTable();
  AddRow(*found, table);
  const HoldingList holdings(fold, id);
  boost::json::object document = ToJson(*found);
  document["holdings"] = holdings.list();
  session.printer().Print(document,
                          table.ToString() + "\n" + holdings.ToText());
  return ExitCode::kOk;
}

}  // namespace coppervalve::cli
