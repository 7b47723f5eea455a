#include "tools/load/audit.h"

#include <boost/json/array.hpp>
#include <filesystem>     // exists
#include <thread>         // sleep_for
#include <unordered_map>  // unordered_map
#include <unordered_set>  // unordered_set
#include <utility>        // move
#include <variant>        // get_if

#include "coppervalve/core/hash.h"
#include "tools/load/clock.h"
#include "tools/load/json.h"
#include "tools/load/log_reader.h"
#include "tools/load/upstream_usage.h"

namespace coppervalve::load {

namespace {

namespace json = boost::json;
using core::ErrorId;
using core::Tokens;

constexpr std::chrono::milliseconds kFollowPause{200};

/// One request of a load report.
struct ReportedRequest {
  std::string request_id;
  std::string verdict;
  bool earlier_unknown = false;
  bool non_idempotent = false;
};

/// How often each key was billed. Kept separate from the billed keys in the
/// fold, which the audit verifies.
using BillCounts = std::unordered_map<core::Hash128, size_t>;

// Keys are scoped to an account: two accounts may use the same key. Log records
// identify a key by the hash of this identity.
std::string IdentityOf(const std::string& account, const std::string& key) {
  std::string identity = account;
  identity.push_back('\0');
  return identity + key;
}

class RecordComparison {
 public:
  explicit RecordComparison(Findings& findings) : m_findings(findings) {}

  core::Status AddReport(const std::string& path) {
    const core::Result<json::value> read = ReadJsonFile(path);
    if (!core::IsOk(read)) {
      return core::Failure(read);
    }
    const json::object* report = core::Value(read).if_object();
    const json::array* keys =
        report == nullptr ? nullptr : ArrayMember(*report, "keys");
    if (keys == nullptr) {
      return core::Error{ErrorId::kMalformedJson, path, "not a load report"};
    }
    for (const json::value& item : *keys) {
      if (item.is_object()) {
        AddRequest(item.get_object());
      }
    }
    return core::Ok();
  }

  void AddRuns(const UpstreamUsage& usage) {
    m_findings.runs = usage.runs.size();
    m_findings.begun_only = usage.begun_only;
    m_findings.missing = usage.missing;
    for (const UpstreamRun& run : usage.runs) {
      const std::string identity = IdentityOf(run.account, run.key);
      m_owner_of.emplace(run.request_id, identity);
      if (run.key.empty()) {
        continue;
      }
      ++m_runs_of[identity];
      m_changes_state[identity] |= run.changes_state;
    }
  }

  void Finish(const BillCounts& bills) {
    for (const auto& [hash, count] : bills) {
      m_findings.billed_twice += count > 1 ? 1 : 0;
    }
    for (const auto& [identity, count] : m_runs_of) {
      const auto request = m_requests.find(identity);
      const bool at_most_once =
          m_changes_state[identity] ||
          (request != m_requests.end() && request->second.non_idempotent);
      m_findings.ran_twice += at_most_once && count > 1 ? 1 : 0;
    }
    for (const auto& [identity, request] : m_requests) {
      CheckAnswer(identity, request, bills);
    }
  }

 private:
  void AddRequest(const json::object& item) {
    ReportedRequest request;
    request.request_id = StringMember(item, "request_id");
    request.verdict = StringMember(item, "verdict");
    request.earlier_unknown = BoolMember(item, "earlier_unknown");
    request.non_idempotent = BoolMember(item, "non_idempotent");
    const std::string key = StringMember(item, "key");
    if (!key.empty()) {
      m_requests[IdentityOf(StringMember(item, "account"), key)] =
          std::move(request);
    }
  }

  void CheckAnswer(const std::string& identity,
                   const ReportedRequest& request,
                   const BillCounts& bills) {
    if (request.verdict == "wrong") {
      ++m_findings.wrong_answers;
    }
    if (request.verdict == "not_run" && !request.earlier_unknown &&
        m_runs_of.contains(identity)) {
      ++m_findings.ran_after_not_run;
    }
    if (request.verdict != "whole") {
      return;
    }
    ++m_findings.answered;
    m_findings.answered_unbilled +=
        bills.contains(core::HashOf(identity)) ? 0 : 1;
    // A complete answer may belong to another request. The caller cannot detect
    // that, but the upstream recorded whose request it was.
    const auto owner = m_owner_of.find(request.request_id);
    if (owner == m_owner_of.end()) {
      ++m_findings.answers_unproved;
    } else if (owner->second != identity) {
      ++m_findings.wrong_answers;
    }
  }

  Findings& m_findings;
  std::unordered_map<std::string, ReportedRequest> m_requests;
  std::unordered_map<std::string, size_t> m_runs_of;
  std::unordered_map<std::string, bool> m_changes_state;
  std::unordered_map<std::string, std::string> m_owner_of;
};

core::Status FollowLog(const AuditOptions& options, LogReader& reader) {
  const Clock::time_point deadline = Clock::now() + options.follow_limit;
  while (!options.follow_until.empty() && Clock::now() < deadline &&
         !std::filesystem::exists(options.follow_until)) {
    core::Status read = reader.CatchUp();
    // Some trials include an outage of the log, so it is retried; waiting does
    // not repair a gap.
    if (!core::IsOk(read) &&
        core::Failure(read).id != ErrorId::kLogUnavailable) {
      return read;
    }
    std::this_thread::sleep_for(kFollowPause);
  }
  return reader.CatchUp();
}

void AddBudgets(const ledger::Fold& fold,
                const std::map<std::string, Tokens>& used,
                Findings& findings) {
  for (const ledger::Budget* budget : fold.Budgets()) {
    BudgetFinding& finding = findings.budgets[budget->id.value()];
    finding.paid_in = budget->paid_in;
    finding.billed = budget->billed;
    finding.written_off = budget->written_off;
  }
  for (const auto& [budget, tokens] : used) {
    findings.budgets[budget].used = tokens;
  }
  for (const auto& [budget, finding] : findings.budgets) {
    findings.overspend += finding.Overspend();
  }
}

}  // namespace

bool Findings::IsClean() const {
  return overspend == Tokens(0) && billed_twice == 0 && ran_twice == 0 &&
         wrong_answers == 0 && ran_after_not_run == 0 && missing.empty();
}

core::Result<Findings> Audit(const AuditOptions& options) {
  BillCounts bills;
  LogReader reader(
      options.log, [&bills](const std::vector<ledger::Effect>& effects) {
        for (const ledger::Effect& effect : effects) {
          if (const auto* billed = std::get_if<ledger::Billed>(&effect)) {
            ++bills[billed->key_hash];
          }
        }
      });
  const core::Status read = FollowLog(options, reader);
  if (!core::IsOk(read)) {
    return core::Failure(read);
  }
  const auto configuration = reader.fold().configuration();
  if (reader.fold().config_version() == core::ConfigVersion(0)) {
    return core::Error{ErrorId::kConfigMissingField, options.log,
                       "no configuration is in force"};
  }
  Findings findings;
  findings.started_at = reader.started_at();
  findings.next_offset = reader.fold().next_offset();
  RecordComparison comparison(findings);
  for (const std::string& path : options.reports) {
    const core::Status added = comparison.AddReport(path);
    if (!core::IsOk(added)) {
      return core::Failure(added);
    }
  }
  const UpstreamUsage usage =
      ReadUpstreamUsage(*configuration, options.record_folder);
  comparison.AddRuns(usage);
  comparison.Finish(bills);
  AddBudgets(reader.fold(), UsageByBudget(*configuration, usage), findings);
  return findings;
}

}  // namespace coppervalve::load
