#include "apps/coppervalve/fleet_commands.h"

#include <boost/json/array.hpp>

#include "apps/coppervalve/router_client.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;

std::string PhaseName(v1::RouterPhase phase) {
  return v1::RouterPhase_Name(phase);
}

core::Result<std::string> EndpointOf(const Session& session,
                                     const std::string& router) {
  if (router.find(':') != std::string::npos) {
    return router;
  }
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return core::Failure(view);
  }
  const ledger::Member* member =
      core::Value(view).fold().FindLive(core::RouterId(router));
  if (member == nullptr) {
    return core::Error{ErrorId::kUnknownRouter, router, "not live in the log"};
  }
  return member->joined.operator_address();
}

}  // namespace

ExitCode ShowStatus(const Session& session) {
  const auto addresses = session.OperatorEndpoints();
  if (!core::IsOk(addresses)) {
    return session.printer().Fail(core::Failure(addresses));
  }
  ExitCode code = ExitCode::kOk;
  boost::json::array list;
  TextTable table({"ENDPOINT", "ROUTER", "PHASE", "CONFIG", "NEXT-OFFSET",
                   "LOG-AGE-MS", "IN-PROGRESS", "QUEUED", "WITNESS"});
  for (const std::string& address : core::Value(addresses)) {
    const auto status = GetObject(session, address, "/admin/status");
    if (!core::IsOk(status)) {
      code = ExitCodeOf(core::Failure(status).id);
      list.push_back(boost::json::object{
          {"endpoint", address}, {"error", ToJson(core::Failure(status))}});
      table.Add({address, core::ToString(core::Failure(status))});
      continue;
    }
    const boost::json::object& document = core::Value(status);
    list.push_back(
        boost::json::object{{"endpoint", address}, {"status", document}});
    table.Add(
        {address, MemberText(document, "router"), MemberText(document, "phase"),
         MemberText(document, "config_version"),
         MemberText(document, "next_offset"),
         MemberText(document, "log_age_ms"),
         MemberText(document, "in_progress"), MemberText(document, "queued"),
         MemberText(document, "witness")});
  }
  session.printer().Print({{"routers", list}}, table.ToString());
  return code;
}

ExitCode ListRouters(const Session& session) {
  const core::Result<LogView> view = session.ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return session.printer().Fail(core::Failure(view));
  }
  const ledger::Fold& fold = core::Value(view).fold();
  std::vector<const ledger::Member*> members = fold.LiveMembers();
  const auto retired = fold.RetiredMembers();
  members.insert(members.end(), retired.begin(), retired.end());
  boost::json::array list;
  TextTable table({"ROUTER", "INCARNATION", "PHASE", "CALLERS", "OPERATORS",
                   "FAILURE-DOMAIN", "CONFIG", "WITNESS"});
  for (const ledger::Member* member : members) {
    const std::string incarnation = ToHex(member->incarnation.value());
    const v1::RouterJoined& joined = member->joined;
    list.push_back(boost::json::object{
        {"router", member->id.value()},
        {"incarnation", incarnation},
        {"phase", PhaseName(member->phase)},
        {"caller_address", joined.caller_address()},
        {"operator_address", joined.operator_address()},
        {"failure_domain", joined.failure_domain()},
        {"confirmed_config", member->confirmed_config.value()},
        {"witness", member->witness.value()}});
    table.Add({member->id.value(), incarnation, PhaseName(member->phase),
               joined.caller_address(), joined.operator_address(),
               joined.failure_domain(),
               std::to_string(member->confirmed_config.value()),
               member->witness.value()});
  }
  session.printer().Print({{"routers", list}}, table.ToString());
  return ExitCode::kOk;
}

ExitCode Drain(const Session& session, const std::string& router) {
  const core::Result<std::string> address = EndpointOf(session, router);
  if (!core::IsOk(address)) {
    return session.printer().Fail(core::Failure(address));
  }
  const core::Result<HttpReply> reply = CallRouter(
      session, HttpMethod::kPost, core::Value(address), "/admin/drain");
  if (!core::IsOk(reply)) {
    return session.printer().Fail(core::Failure(reply));
  }
  session.printer().Print({{"ok", true}, {"router", router}},
                          router + " is draining");
  return ExitCode::kOk;
}

}  // namespace coppervalve::cli
