#include "apps/coppervalve/publish.h"

#include <algorithm>  // min
#include <utility>    // move
#include <variant>    // get_if

#include "apps/coppervalve/config_file.h"
#include "coppervalve/config/check.h"
#include "coppervalve/config/diff.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Outcome = std::variant<ledger::ConfigAccepted, ledger::ConfigRejected>;

constexpr milliseconds kPollInterval{500};
/// How long to wait for acceptance of a proposal when --wait is not given.
constexpr uint32_t kDefaultAcceptanceWaitS = 10;

std::string VersionText(core::ConfigVersion version) {
  return "version " + std::to_string(version.value());
}

// Records the outcome of one change. A retried append may be in the log twice;
// only the first copy counts, since the second one conflicts with it.
class OutcomeObserver {
 public:
  explicit OutcomeObserver(std::string change_id)
      : m_change_id(std::move(change_id)) {}

  LogView::Observer Observer() {
    return [this](core::LogOffset, const v1::Entry&,
                  const std::vector<ledger::Effect>& effects) {
      for (const ledger::Effect& effect : effects) {
        StoreFirst<ledger::ConfigAccepted>(effect);
        StoreFirst<ledger::ConfigRejected>(effect);
      }
    };
  }

  const std::optional<Outcome>& outcome() const { return m_outcome; }

 private:
  template <typename Kind>
  void StoreFirst(const ledger::Effect& effect) {
    const auto* kind = std::get_if<Kind>(&effect);
    if (kind != nullptr && kind->change_id == m_change_id && !m_outcome) {
      m_outcome = *kind;
    }
  }

  std::string m_change_id;
  std::optional<Outcome> m_outcome;
};

class Publication {
 public:
  Publication(const Session& session,
              LogView view,
              v1::Configuration configuration,
              const PublishArguments& arguments)
      : m_session(session),
        m_view(std::move(view)),
        m_configuration(std::move(configuration)),
        m_arguments(arguments) {}

  ExitCode Run() {
    if (Changes().empty()) {
      return Finish(m_view.fold().config_version(), "already in force as ");
    }
    const core::ConfigVersion in_force = m_view.fold().config_version();
    const core::ConfigVersion based_on(
        m_arguments.based_on.value_or(in_force.value()));
    if (based_on != in_force) {
      return ReportConflict(based_on, m_view.fold().config_operator());
    }
    const core::Status successor =
        config::CheckSuccessor(*m_view.fold().configuration(), m_configuration);
    if (!core::IsOk(successor)) {
      return m_session.printer().Fail(core::Failure(successor));
    }
    return Append(based_on);
  }

 private:
  std::vector<config::Change> Changes() const {
    return config::Diff(*m_view.fold().configuration(), m_configuration);
  }

  ExitCode Append(core::ConfigVersion based_on) {
    v1::Record record;
    v1::ConfigPublished& published = *record.mutable_config_published();
    published.set_based_on(based_on.value());
    *published.mutable_configuration() = m_configuration;
    published.set_operator_name(m_session.options().operator_name);
    published.set_change_id(NewId());
    OutcomeObserver outcome_observer(published.change_id());
    const core::Result<v1::Entry> entry =
        m_session.NewEntry(m_view, std::move(record));
    if (!core::IsOk(entry)) {
      return m_session.printer().Fail(core::Failure(entry));
    }
    core::Status read = m_session.AppendAndRead(m_view, core::Value(entry),
                                                outcome_observer.Observer());
    if (core::IsOk(read)) {
      read = AwaitOutcome(outcome_observer);
    }
    if (outcome_observer.outcome()) {
      return Report(*outcome_observer.outcome());
    }
    if (!core::IsOk(read)) {
      core::Error error = core::Failure(read);
      error.detail +=
          "; the change may still take effect: run publish again, which "
          "reports it as already in force if it did";
      return m_session.printer().Fail(error);
    }
    return m_session.printer().Fail(
        {ErrorId::kNotInForce,
         VersionText(core::ConfigVersion(based_on.value() + 1)),
         "proposed, but fewer than half of the voting routers have read it; it "
         "comes into force once they have, and no other change is taken "
         "before"});
  }

  // A proposal takes effect once more than half of the voting routers have read
  // it. This takes about a second unless many routers cannot reach the log.
  core::Status AwaitOutcome(OutcomeObserver& outcome_observer) {
    const Clock::time_point deadline =
        Clock::now() + std::chrono::seconds(m_arguments.wait_s.value_or(
                           kDefaultAcceptanceWaitS));
    core::Status read = core::Ok();
    while (core::IsOk(read) && !outcome_observer.outcome() &&
           Clock::now() < deadline) {
      read = m_view.CatchUp(kPollInterval, outcome_observer.Observer());
    }
    return read;
  }

  ExitCode Report(const Outcome& outcome) {
    if (const auto* accepted = std::get_if<ledger::ConfigAccepted>(&outcome)) {
      return Finish(accepted->version, "accepted as ");
    }
    const auto& rejected = std::get<ledger::ConfigRejected>(outcome);
    switch (rejected.reason) {
      case ledger::ConfigRejection::kConflict:
        return ReportConflict(rejected.based_on, rejected.winner_operator);
      case ledger::ConfigRejection::kPrepaidShrinks:
        return m_session.printer().Fail(
            {ErrorId::kConfigPrepaidShrinks, "$.budgets",
             "another change increased an amount first"});
      case ledger::ConfigRejection::kStale:
        return m_session.printer().Fail(
            {ErrorId::kConfigConflict, "change",
             "the append came too late after the log was read"});
      case ledger::ConfigRejection::kInvalid:
        break;
    }
    return m_session.printer().Fail({ErrorId::kConfigBadValue, "$.budgets",
                                     "refused by the fold of the log"});
  }

  ExitCode ReportConflict(core::ConfigVersion based_on,
                          const std::string& winner) {
    const auto changes = Changes();
    if (changes.empty()) {
      return Finish(m_view.fold().config_version(), "already in force as ");
    }
    const core::ConfigVersion in_force = m_view.fold().config_version();
    const core::Error error{
        ErrorId::kConfigConflict, VersionText(based_on),
        "'" + winner + "' published " + VersionText(in_force) + " first"};
    return m_session.printer().Fail(
        error,
        {{"winner", winner},
         {"version_in_force", in_force.value()},
         {"based_on", based_on.value()},
         {"changes", ToJson(changes)}},
        "from " + VersionText(in_force) + " to your file:\n" + ToText(changes));
  }

  ExitCode Finish(core::ConfigVersion version, const std::string& how) {
    const boost::json::object document = {
        {"ok", true},
        {"version", version.value()},
        {"confirmed_everywhere", m_arguments.wait_s.has_value()}};
    std::string text = how + VersionText(version);
    if (!m_arguments.wait_s) {
      m_session.printer().Print(document, text);
      return ExitCode::kOk;
    }
    const core::Status confirmed = WaitUntilConfirmed(version);
    if (!core::IsOk(confirmed)) {
      return m_session.printer().Fail(core::Failure(confirmed),
                                      {{"version", version.value()}},
                                      text + "\n");
    }
    text += ", in force on " +
            std::to_string(m_view.fold().LiveMembers().size()) + " routers";
    m_session.printer().Print(document, text);
    return ExitCode::kOk;
  }

  core::Status WaitUntilConfirmed(core::ConfigVersion version) {
    const Clock::time_point deadline =
        Clock::now() + std::chrono::seconds(*m_arguments.wait_s);
    while (true) {
      const std::string missing = Unconfirmed(version);
      if (missing.empty()) {
        return core::Ok();
      }
      const auto left =
          std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
      if (left <= milliseconds(0)) {
        return core::Error{ErrorId::kNotInForce, VersionText(version),
                           "not confirmed by " + missing};
      }
      core::Status read = m_view.CatchUp(std::min(left, kPollInterval));
      if (!core::IsOk(read)) {
        return read;
      }
    }
  }

  // Without a live router no configuration is in force: reporting success would
  // mean that the configuration was applied although no router runs.
  std::string Unconfirmed(core::ConfigVersion version) const {
    if (m_view.fold().LiveMembers().empty()) {
      return "any router: none is live";
    }
    std::string missing;
    for (const ledger::Member* member : m_view.fold().LiveMembers()) {
      if (member->confirmed_config < version) {
        missing += (missing.empty() ? "" : ", ") + member->id.value();
      }
    }
    return missing;
  }

  const Session& m_session;
  LogView m_view;
  v1::Configuration m_configuration;
  const PublishArguments& m_arguments;
};

}  // namespace

ExitCode PublishConfig(const Session& session,
                       const PublishArguments& arguments) {
  auto loaded = LoadConfig(session, arguments.file);
  if (const auto* failed = std::get_if<ExitCode>(&loaded)) {
    return *failed;
  }
  core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  Publication publication(session, core::TakeValue(std::move(view)),
                          std::get<v1::Configuration>(std::move(loaded)),
                          arguments);
  return publication.Run();
}

}  // namespace coppervalve::cli
