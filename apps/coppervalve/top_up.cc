#include <optional>  // optional
#include <utility>   // move
#include <variant>   // get_if

#include "apps/coppervalve/budget_commands.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;

// Payments with one id that were found in the log.
class TopUpObserver {
 public:
  explicit TopUpObserver(std::string id) : m_id(std::move(id)) {}

  LogView::Observer Observer() {
    return [this](core::LogOffset, const v1::Entry&,
                  const std::vector<ledger::Effect>& effects) {
      for (const ledger::Effect& effect : effects) {
        RecordPayment(effect);
      }
    };
  }

  const std::optional<ledger::PaidIn>& paid() const { return m_paid; }
  const std::optional<ledger::TopUpRefused>& refused() const {
    return m_refused;
  }

 private:
  void RecordPayment(const ledger::Effect& effect) {
    const auto* paid = std::get_if<ledger::PaidIn>(&effect);
    if (paid != nullptr && paid->top_up_id == m_id) {
      m_paid = *paid;
    }
    const auto* refused = std::get_if<ledger::TopUpRefused>(&effect);
    if (refused != nullptr && refused->top_up_id == m_id) {
      m_refused = *refused;
    }
  }

  std::string m_id;
  std::optional<ledger::PaidIn> m_paid;
  std::optional<ledger::TopUpRefused> m_refused;
};

core::Error ErrorOf(const ledger::TopUpRefused& refused) {
  switch (refused.reason) {
    case ledger::TopUpRefusal::kStale:
      return {ErrorId::kTopUpStale, refused.top_up_id,
              "the append was too late after the log was read; nothing was "
              "paid in"};
    case ledger::TopUpRefusal::kDuplicate:
      return {ErrorId::kTopUpDuplicate, refused.top_up_id,
              "a payment with this id was made before; nothing more was paid "
              "in"};
    case ledger::TopUpRefusal::kUnknownBudget:
      return {ErrorId::kUnknownBudget, refused.budget.value(),
              "no accepted configuration names it"};
    case ledger::TopUpRefusal::kInvalid:
      break;
  }
  return {ErrorId::kOperatorUsage, "TOKENS",
          "not positive, or above the maximum balance"};
}

ExitCode PrintPaid(const Session& session,
                   const ledger::Fold& fold,
                   const ledger::PaidIn& paid,
                   bool before) {
  const ledger::Budget& budget = *fold.FindBudget(paid.budget);
  const std::string tokens = std::to_string(paid.tokens.value());
  session.printer().Print({{"ok", true},
                           {"budget", paid.budget.value()},
                           {"tokens", paid.tokens.value()},
                           {"top_up_id", paid.top_up_id},
                           {"paid_before", before},
                           {"paid_in", budget.paid_in.value()},
                           {"free", budget.free.value()}},
                          (before ? "had already paid " : "paid ") + tokens +
                              " tokens into " + paid.budget.value() + " (id " +
                              paid.top_up_id + "); paid in " +
                              std::to_string(budget.paid_in.value()) +
                              ", free " + std::to_string(budget.free.value()));
  return ExitCode::kOk;
}

bool SamePayment(const ledger::PaidIn& paid, const TopUpArguments& arguments) {
  return paid.budget.value() == arguments.budget &&
         paid.tokens.value() == arguments.tokens;
}

v1::Record RecordOf(const TopUpArguments& arguments, const std::string& id) {
  v1::Record record;
  v1::ToppedUp& topped_up = *record.mutable_topped_up();
  topped_up.set_budget(arguments.budget);
  topped_up.set_tokens(arguments.tokens);
  topped_up.set_top_up_id(id);
  return record;
}

}  // namespace

ExitCode TopUp(const Session& session, const TopUpArguments& arguments) {
  const std::string id = arguments.id.empty() ? NewId() : arguments.id;
  TopUpObserver observer(id);
  // Reads from the oldest snapshot, so that a command that is repeated because
  // its first outcome was lost finds the payment and succeeds.
  core::Result<LogView> read =
      session.ReadLog(LogView::Start::kOldest, observer.Observer());
  if (!core::IsOk(read)) {
    return session.printer().Fail(core::Failure(read));
  }
  LogView view = core::TakeValue(std::move(read));
  if (observer.paid() && SamePayment(*observer.paid(), arguments)) {
    return PrintPaid(session, view.fold(), *observer.paid(), true);
  }
  if (observer.paid()) {
    return session.printer().Fail(
        {ErrorId::kTopUpDuplicate, id,
         "paid " + std::to_string(observer.paid()->tokens.value()) +
             " tokens into " + observer.paid()->budget.value() + " before"});
  }
  if (view.fold().FindBudget(core::BudgetId(arguments.budget)) == nullptr) {
    return session.printer().Fail({ErrorId::kUnknownBudget, arguments.budget,
                                   "no accepted configuration names it"});
  }
  const core::Result<v1::Entry> entry =
      session.NewEntry(view, RecordOf(arguments, id));
  if (!core::IsOk(entry)) {
    return session.printer().Fail(core::Failure(entry));
  }
  const core::Status appended =
      session.AppendAndRead(view, core::Value(entry), observer.Observer());
  if (observer.paid()) {
    return PrintPaid(session, view.fold(), *observer.paid(), false);
  }
  if (observer.refused()) {
    return session.printer().Fail(ErrorOf(*observer.refused()));
  }
  core::Error error = core::IsOk(appended)
                          ? core::Error{ErrorId::kLogRecordInvalid, id,
                                        "acknowledged but not in the log"}
                          : core::Failure(appended);
  error.detail +=
      "; repeat with --id " + id + ": an id is paid in at most once";
  return session.printer().Fail(error);
}

}  // namespace coppervalve::cli
