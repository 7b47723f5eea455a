#include <CLI/CLI.hpp>
#include <cstdlib>   // EXIT_FAILURE, EXIT_SUCCESS
#include <iostream>  // cerr, cout
#include <string>    // string

#include "tools/load/audit.h"
#include "tools/load/findings_text.h"
#include "tools/load/json.h"
#include "tools/load/plan.h"
#include "tools/load/run.h"

using namespace coppervalve;        // NOLINT
using namespace coppervalve::load;  // NOLINT

namespace {

constexpr int kUsageExit = 2;

constexpr const char* kRunFooter = R"(
A plan is a JSON object:
  {"routers": ["127.0.0.1:18001"], "max_seconds": 30, "classes": [
    {"name": "gate-chat", "account": "gate-chat", "api_key": "demo-gate-chat",
     "model": "chat-7b", "stream": true, "max_tokens": 64, "prompt_bytes": 400,
     "rate_per_s": 20, "requests": 400, "patience_ms": 10000},
    {"name": "seat-holds", "account": "box-office", "api_key": "demo-box-office",
     "service": "ticketing", "path": "/holds", "non_idempotent": true,
     "rate_per_s": 10, "requests": 200}]})";

constexpr const char* kAuditFooter = R"(
Exit codes: 0 nothing found, 1 something found or records missing, 2 could not
be carried out.)";

struct Arguments {
  std::string plan;
  std::string report;
  FalseRefusalSource source;
  AuditOptions audit;
  std::string findings;
  int64_t follow_limit_s = 600;
};

int Fail(const core::Error& error) {
  std::cerr << core::ToString(error) << "\n";
  return kUsageExit;
}

int Run(const Arguments& arguments) {
  const core::Result<LoadPlan> plan = ReadPlan(arguments.plan);
  if (!core::IsOk(plan)) {
    return Fail(core::Failure(plan));
  }
  const auto report = RunLoad(core::Value(plan), arguments.source);
  if (!core::IsOk(report)) {
    return Fail(core::Failure(report));
  }
  const core::Status written =
      WriteJsonFile(arguments.report, core::Value(report));
  return core::IsOk(written) ? EXIT_SUCCESS : Fail(core::Failure(written));
}

int RunAudit(const Arguments& arguments) {
  AuditOptions options = arguments.audit;
  options.follow_limit = std::chrono::seconds(arguments.follow_limit_s);
  const core::Result<Findings> read = Audit(options);
  if (!core::IsOk(read)) {
    return Fail(core::Failure(read));
  }
  const Findings& findings = core::Value(read);
  std::cout << ToText(findings) << std::flush;
  if (!arguments.findings.empty()) {
    const core::Status written =
        WriteJsonFile(arguments.findings, ToJson(findings));
    if (!core::IsOk(written)) {
      return Fail(core::Failure(written));
    }
  }
  return findings.IsClean() ? EXIT_SUCCESS : EXIT_FAILURE;
}

CLI::App* AddRun(CLI::App& app, Arguments& arguments) {
  CLI::App* run = app.add_subcommand("run", "Send a plan's requests");
  run->add_option("PLAN", arguments.plan, "file")->required();
  run->add_option("--report", arguments.report, "file for the JSON report")
      ->required();
  run->add_option("--clairvoyant", arguments.source.log,
                  "ip:port of the log; counts unnecessary refusals for lack "
                  "of tokens at the end of the run");
  run->add_option("--record-folder", arguments.source.record_folder,
                  "<upstream>.jsonl of upstreams that have exited");
  run->footer(kRunFooter);
  return run;
}

CLI::App* AddAudit(CLI::App& app, Arguments& arguments) {
  CLI::App* audit = app.add_subcommand(
      "audit", "Compare the log, the upstreams' records and the load reports");
  audit->add_option("--log", arguments.audit.log, "ip:port")->required();
  audit->add_option("--record-folder", arguments.audit.record_folder,
                    "<upstream>.jsonl of upstreams that have exited");
  audit->add_option("--report", arguments.audit.reports,
                    "report of a load run; repeatable");
  audit->add_option("--follow-until", arguments.audit.follow_until,
                    "follow the log until this file exists");
  audit
      ->add_option("--follow-limit", arguments.follow_limit_s,
                   "maximum seconds to wait for that file")
      ->check(CLI::Range(1, 86'400));
  audit->add_option("--findings", arguments.findings, "file for JSON");
  audit->footer(kAuditFooter);
  return audit;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load generator and audit for a coppervalve fleet.",
               "coppervalve-load");
  app.require_subcommand(1);
  Arguments arguments;
  const CLI::App* run = AddRun(app, arguments);
  AddAudit(app, arguments);
  CLI11_PARSE(app, argc, argv);
  return run->parsed() ? Run(arguments) : RunAudit(arguments);
}
