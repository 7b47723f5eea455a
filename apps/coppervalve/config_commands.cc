#include "apps/coppervalve/config_commands.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <string_view>  // string_view
#include <variant>      // get_if

#include "apps/coppervalve/config_file.h"
#include "coppervalve/config/diff.h"
#include "coppervalve/config/json.h"

namespace coppervalve::cli {

namespace {

std::string_view NameOf(ledger::ConfigRejection reason) {
  switch (reason) {
    case ledger::ConfigRejection::kConflict:
      return "lost a race";
    case ledger::ConfigRejection::kPrepaidShrinks:
      return "prepaid shrinks";
    case ledger::ConfigRejection::kStale:
      return "stale";
    case ledger::ConfigRejection::kInvalid:
      return "invalid";
  }
  return "rejected";
}

std::string OperatorOf(const v1::Entry& entry) {
  for (const v1::Record& record : entry.records()) {
    if (record.has_config_published()) {
      return record.config_published().operator_name();
    }
  }
  return entry.writer();
}

// Collects publications while the log is folded.
class History {
 public:
  void Observe(core::LogOffset offset,
               const v1::Entry& entry,
               const std::vector<ledger::Effect>& effects) {
    for (const ledger::Effect& effect : effects) {
      if (const auto* accepted = std::get_if<ledger::ConfigAccepted>(&effect)) {
        Add(offset, OperatorOf(entry), accepted->version.value(), "accepted");
      }
      if (const auto* rejected = std::get_if<ledger::ConfigRejected>(&effect)) {
        Add(offset, OperatorOf(entry), rejected->based_on.value() + 1,
            NameOf(rejected->reason));
      }
    }
  }

  void Add(core::LogOffset offset,
           const std::string& operator_name,
           uint64_t version,
           std::string_view outcome) {
    m_list.push_back(
        boost::json::object{{"offset", offset.value()},
                            {"version", version},
                            {"operator", operator_name},
                            {"outcome", boost::json::string_view(outcome)}});
    m_table.Add({std::to_string(offset.value()), std::to_string(version),
                 operator_name, std::string(outcome)});
  }

  const boost::json::array& list() const { return m_list; }
  std::string ToText() const { return m_table.ToString(); }

 private:
  boost::json::array m_list;
  TextTable m_table{{"OFFSET", "VERSION", "OPERATOR", "OUTCOME"}};
};

}  // namespace

ExitCode CheckConfig(const Session& session, const std::string& file) {
  const auto loaded = LoadConfig(session, file);
  if (const auto* failed = std::get_if<ExitCode>(&loaded)) {
    return *failed;
  }
  const auto& configuration = std::get<v1::Configuration>(loaded);
  session.printer().Print(
      {{"ok", true},
       {"accounts", configuration.accounts_size()},
       {"budgets", configuration.budgets_size()},
       {"upstreams", configuration.upstreams_size()},
       {"rules", configuration.rules_size()}},
      file + ": good, " + std::to_string(configuration.accounts_size()) +
          " accounts, " + std::to_string(configuration.budgets_size()) +
          " budgets, " + std::to_string(configuration.upstreams_size()) +
          " upstreams, " + std::to_string(configuration.rules_size()) +
          " rules");
  return ExitCode::kOk;
}

ExitCode ShowConfig(const Session& session) {
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  const ledger::Fold& fold = core::Value(view).fold();
  const std::string json = config::ToJson(*fold.configuration());
  session.printer().Print({{"version", fold.config_version().value()},
                           {"offset", fold.config_offset().value()},
                           {"operator", fold.config_operator()},
                           {"configuration", boost::json::parse(json)}},
                          json);
  return ExitCode::kOk;
}

ExitCode DiffConfig(const Session& session, const std::string& file) {
  const auto loaded = LoadConfig(session, file);
  if (const auto* failed = std::get_if<ExitCode>(&loaded)) {
    return *failed;
  }
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  const ledger::Fold& fold = core::Value(view).fold();
  const auto changes =
      config::Diff(*fold.configuration(), std::get<v1::Configuration>(loaded));
  const std::string version = std::to_string(fold.config_version().value());
  session.printer().Print(
      {{"version_in_force", fold.config_version().value()},
       {"changes", ToJson(changes)}},
      changes.empty() ? "same as version " + version
                      : "against version " + version + ":\n" + ToText(changes));
  return ExitCode::kOk;
}

ExitCode ShowHistory(const Session& session) {
  History history;
  const core::Result<LogView> view =
      session.ReadLog(LogView::Start::kOldest,
                      [&history](core::LogOffset offset, const v1::Entry& entry,
                                 const auto& effects) {
                        history.Observe(offset, entry, effects);
                      });
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  const uint64_t since = core::Value(view).started_at().value();
  session.printer().Print(
      {{"since_offset", since}, {"publications", history.list()}},
      history.ToText() +
          (since == 0 ? ""
                      : "older publications than offset " +
                            std::to_string(since) + " are not retained\n"));
  return ExitCode::kOk;
}

}  // namespace coppervalve::cli
