#include <CLI/CLI.hpp>
#include <functional>  // function
#include <iostream>    // cerr

#include "apps/coppervalve/audit.h"
#include "apps/coppervalve/budget_commands.h"
#include "apps/coppervalve/config_commands.h"
#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/fleet_commands.h"
#include "apps/coppervalve/order.h"
#include "apps/coppervalve/order_state.h"
#include "apps/coppervalve/publish.h"
#include "apps/coppervalve/session.h"

using namespace coppervalve::cli;  // NOLINT

namespace {

using Command = std::function<ExitCode(const Session&)>;

constexpr const char* kFooter = R"(
Examples:
  export COPPERVALVE_LOG=10.0.0.5:7100 COPPERVALVE_OPERATOR=ana
  coppervalve config check fleet.json
  coppervalve config publish fleet.json --wait 10
  coppervalve budget top-up tours 500000 --id invoice-1042
  coppervalve status

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 the log or a router
did not answer, 4 another operator published first.)";

constexpr const char* kPublishFooter = R"(
A file is published on top of a version. If several operators publish on top of
the same version, the first one in the log succeeds. The others are shown who
published and what differs, and their files have no effect.

Examples:
  coppervalve config publish fleet.json              on top of what is in force
  coppervalve config publish fleet.json --based-on 7 only if 7 is in force
  coppervalve config publish fleet.json --wait 10    until all routers use it)";

constexpr const char* kTopUpFooter = R"(
An id is paid in at most once, so a command whose outcome is unknown can be
repeated with the same id.

Example:
  coppervalve budget top-up tours 500000 --id invoice-1042)";

constexpr const char* kReleaseFooter = R"(
Tokens that a router held when it died stay quarantined until its witness or
the router itself reports what it spent. Release them manually only when neither
can.

Examples:
  coppervalve budget release tours router-3          describes the risk
  coppervalve budget release tours router-3 --yes    releases)";

constexpr const char* kSettleFooter = R"(
An engine that ignores fencing numbers gets no newer order while an older one
may still reach it. Check the state of the engine, then settle the older order.

Examples:
  coppervalve orders settle engine-03          describes the risk
  coppervalve orders settle engine-03 --yes    settles)";

// The arguments of all commands; filled in by CLI11 during parsing.
struct Arguments {
  Options options;
  std::string output = "text";
  uint64_t timeout_s = 10;
  std::string file;
  PublishArguments publish;
  TopUpArguments top_up;
  ReleaseArguments release;
  OrderArguments order;
  SettleArguments settle;
  std::string budget;
  std::string router;
  std::string key;
  std::string account;
  Command command;
};

CLI::App* AddCommand(CLI::App& parent,
                     const std::string& name,
                     const std::string& help,
                     Arguments& arguments,
                     Command command) {
  CLI::App* app = parent.add_subcommand(name, help);
  app->callback([&arguments, command = std::move(command)] {
    arguments.command = command;
  });
  return app;
}

CLI::App* AddGroup(CLI::App& parent,
                   const std::string& name,
                   const std::string& help) {
  CLI::App* group = parent.add_subcommand(name, help);
  group->require_subcommand(1);
  return group;
}

void AddGlobalOptions(CLI::App& app, Arguments& arguments) {
  Options& options = arguments.options;
  app.add_option("--log", options.log, "ip:port of the log service")
      ->envname("COPPERVALVE_LOG");
  app.add_option("--router", options.routers,
                 "ip:port of a router's operator endpoint, repeatable; "
                 "default: those of the live routers in the log")
      ->envname("COPPERVALVE_ROUTERS")
      ->delimiter(',');
  app.add_option("--operator", options.operator_name,
                 "your name, recorded with each change")
      ->envname("COPPERVALVE_OPERATOR");
  app.add_option("--operator-token", options.operator_token,
                 "token for the routers' operator endpoints")
      ->envname("COPPERVALVE_OPERATOR_TOKEN");
  app.add_option("--output", arguments.output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--timeout", arguments.timeout_s,
                 "seconds until an unanswered call fails")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
}

void AddConfigCommands(CLI::App& app, Arguments& arguments) {
  CLI::App& group =
      *AddGroup(app, "config", "Check, publish and show configurations");
  const auto add_file = [&](CLI::App* command, std::string& file) {
    command->add_option("FILE", file, "operators' file, - for standard input")
        ->required();
  };
  add_file(AddCommand(group, "check", "Check a file without publishing it",
                      arguments,
                      [&](const Session& session) {
                        return CheckConfig(session, arguments.file);
                      }),
           arguments.file);
  CLI::App* publish =
      AddCommand(group, "publish", "Publish a file", arguments,
                 [&](const Session& session) {
                   return PublishConfig(session, arguments.publish);
                 });
  add_file(publish, arguments.publish.file);
  publish->add_option(
      "--based-on", arguments.publish.based_on,
      "version that must be in force; default: the current one");
  publish->add_option("--wait", arguments.publish.wait_s,
                      "seconds to wait until every live router has applied it");
  publish->footer(kPublishFooter);
  AddCommand(group, "show", "Print the configuration in force", arguments,
             ShowConfig);
  add_file(
      AddCommand(group, "diff",
                 "Compare a file with the configuration in force", arguments,
                 [&](const Session& session) {
                   return DiffConfig(session, arguments.file);
                 }),
      arguments.file);
  AddCommand(group, "history", "List who published what, and its outcome",
             arguments, ShowHistory);
}

void AddBudgetCommands(CLI::App& app, Arguments& arguments) {
  CLI::App& group = *AddGroup(app, "budget", "Pay in, show and release");
  AddCommand(group, "list", "List all balances", arguments, ListBudgets);
  AddCommand(group, "show",
             "Show a balance and the routers that hold parts of it", arguments,
             [&](const Session& session) {
               return ShowBudget(session, arguments.budget);
             })
      ->add_option("BUDGET", arguments.budget)
      ->required();
  CLI::App* top_up = AddCommand(
      group, "top-up", "Pay tokens into a budget", arguments,
      [&](const Session& session) { return TopUp(session, arguments.top_up); });
  top_up->add_option("BUDGET", arguments.top_up.budget)->required();
  top_up->add_option("TOKENS", arguments.top_up.tokens)
      ->required()
      ->check(CLI::PositiveNumber);
  top_up->add_option("--id", arguments.top_up.id,
                     "id of the payment; default: a random one");
  top_up->footer(kTopUpFooter);
  CLI::App* release =
      AddCommand(group, "release", "Release the tokens of a dead router",
                 arguments, [&](const Session& session) {
                   return ReleaseBudget(session, arguments.release);
                 });
  release->add_option("BUDGET", arguments.release.budget)->required();
  release->add_option("ROUTER", arguments.release.router)->required();
  release->add_option("--incarnation", arguments.release.incarnation,
                      "incarnation, required when several are quarantined");
  release->add_flag("--yes", arguments.release.yes, "confirm the release");
  release->footer(kReleaseFooter);
}

void AddFleetCommands(CLI::App& app, Arguments& arguments) {
  AddCommand(app, "status", "Query the status of each router", arguments,
             ShowStatus);
  AddCommand(app, "routers", "List the routers recorded in the log", arguments,
             ListRouters);
  CLI::App& request = *AddGroup(app, "request", "Look up requests");
  CLI::App* show = AddCommand(
      request, "show", "Query the routers for the outcome of a request",
      arguments, [&](const Session& session) {
        return ShowRequest(session, arguments.key, arguments.account);
      });
  show->add_option("KEY", arguments.key, "its Idempotency-Key")->required();
  show->add_option("--account", arguments.account, "client account")
      ->required();
  AddCommand(
      app, "drain", "Drain a router: finish its work and leave the fleet",
      arguments,
      [&](const Session& session) { return Drain(session, arguments.router); })
      ->add_option("ROUTER", arguments.router, "id, or ip:port")
      ->required();
  AddCommand(app, "audit", "Fold the log and verify that all balances add up",
             arguments, Audit);
}

void AddOrderCommand(CLI::App& app, Arguments& arguments) {
  CLI::App* order =
      AddCommand(app, "order", "Issue a fenced order to a model engine",
                 arguments, [&](const Session& session) {
                   return IssueOrder(session, arguments.order);
                 });
  order->add_option("UPSTREAM", arguments.order.upstream)->required();
  CLI::Option_group* what = order->add_option_group("order");
  what->add_option("--load-model", arguments.order.load_model);
  what->add_option("--load-adapter", arguments.order.load_adapter);
  what->add_option("--change-role", arguments.order.change_role);
  what->require_option(1);
  order->footer(
      "\nExample:\n  coppervalve order engine-03 --load-model chat-7b");
}

void AddOrdersCommands(CLI::App& app, Arguments& arguments) {
  CLI::App& group = *AddGroup(app, "orders", "Show and settle orders");
  AddCommand(group, "list", "List the latest order of each upstream", arguments,
             ListOrders);
  CLI::App* settle =
      AddCommand(group, "settle", "End an order whose outcome is unknown",
                 arguments, [&](const Session& session) {
                   return SettleOrder(session, arguments.settle);
                 });
  settle->add_option("UPSTREAM", arguments.settle.upstream)->required();
  settle->add_flag("--yes", arguments.settle.yes, "confirm settling");
  settle->footer(kSettleFooter);
}

int Run(Arguments& arguments) {
  arguments.options.json = arguments.output == "json";
  arguments.options.call_timeout = std::chrono::seconds(arguments.timeout_s);
  const Session session(arguments.options);
  return static_cast<int>(arguments.command(session));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("The operators' tool of a coppervalve fleet.", "coppervalve");
  Arguments arguments;
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(kFooter);
  AddGlobalOptions(app, arguments);
  AddConfigCommands(app, arguments);
  AddBudgetCommands(app, arguments);
  AddFleetCommands(app, arguments);
  AddOrderCommand(app, arguments);
  AddOrdersCommands(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  return Run(arguments);
}
