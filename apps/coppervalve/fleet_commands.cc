#include "apps/coppervalve/fleet_commands.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "apps/coppervalve/http_client.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpSuccessEnd = 300;
constexpr unsigned kHttpNotFound = 404;

core::Result<HttpReply> Ask(const Session& session,
                            HttpMethod method,
                            const std::string& address,
                            const std::string& target) {
  HttpCall call;
  call.method = method;
  call.address = address;
  call.target = target;
  call.bearer_token = session.options().operator_token;
  call.timeout = session.options().patience;
  return Send(call);
}

// The text of a member, whatever its type; "-" when it is absent, as the JSON
// mapping leaves out defaults.
std::string Member(const boost::json::object& document, const char* name) {
  const boost::json::value* member = document.if_contains(name);
  if (member == nullptr) {
    return "-";
  }
  return member->is_string() ? std::string(member->get_string().c_str())
                             : boost::json::serialize(*member);
}

core::Result<boost::json::object> ReadObject(const std::string& address,
                                             const HttpReply& reply) {
  boost::json::error_code failed;
  const boost::json::value document = boost::json::parse(reply.body, failed);
  if (reply.status != kHttpOk || failed || !document.is_object()) {
    return core::Error{ErrorId::kPeerProtocol, address,
                       "HTTP status " + std::to_string(reply.status)};
  }
  return document.get_object();
}

core::Result<boost::json::object> AskObject(const Session& session,
                                            const std::string& address,
                                            const std::string& target) {
  const core::Result<HttpReply> reply =
      Ask(session, HttpMethod::kGet, address, target);
  if (!core::IsOk(reply)) {
    return core::Failure(reply);
  }
  return ReadObject(address, core::Value(reply));
}

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
    const auto status = AskObject(session, address, "/admin/status");
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
    table.Add({address, Member(document, "router"), Member(document, "phase"),
               Member(document, "config_version"),
               Member(document, "next_offset"), Member(document, "log_age_ms"),
               Member(document, "in_progress"), Member(document, "queued"),
               Member(document, "witness")});
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

ExitCode ShowRequest(const Session& session,
                     const std::string& key,
                     const std::string& account) {
  const auto addresses = session.OperatorEndpoints();
  if (!core::IsOk(addresses)) {
    return session.printer().Fail(core::Failure(addresses));
  }
  const std::string target = "/v1/requests/" + PercentEncode(key) +
                             "?account=" + PercentEncode(account);
  std::optional<core::Error> failure;
  boost::json::array list;
  TextTable table(
      {"ENDPOINT", "STATE", "RUN-STATE", "UPSTREAM", "ERROR", "AGE-MS"});
  for (const std::string& address : core::Value(addresses)) {
    const core::Result<HttpReply> reply =
        Ask(session, HttpMethod::kGet, address, target);
    if (core::IsOk(reply) && core::Value(reply).status == kHttpNotFound) {
      continue;
    }
    const auto status =
        core::IsOk(reply)
            ? ReadObject(address, core::Value(reply))
            : core::Result<boost::json::object>(core::Failure(reply));
    if (!core::IsOk(status)) {
      failure = core::Failure(status);
      continue;
    }
    const boost::json::object& document = core::Value(status);
    list.push_back(
        boost::json::object{{"endpoint", address}, {"status", document}});
    table.Add({address, Member(document, "state"),
               Member(document, "run_state"), Member(document, "upstream"),
               Member(document, "error"), Member(document, "age_ms")});
  }
  if (!list.empty()) {
    session.printer().Print({{"requests", list}}, table.ToString());
    return ExitCode::kOk;
  }
  // A router that did not answer may be the one that knows the key.
  return session.printer().Fail(failure.value_or(
      core::Error{ErrorId::kNotFound, key, "no router knows this key"}));
}

ExitCode Drain(const Session& session, const std::string& router) {
  const core::Result<std::string> address = EndpointOf(session, router);
  if (!core::IsOk(address)) {
    return session.printer().Fail(core::Failure(address));
  }
  const core::Result<HttpReply> reply =
      Ask(session, HttpMethod::kPost, core::Value(address), "/admin/drain");
  if (!core::IsOk(reply)) {
    return session.printer().Fail(core::Failure(reply));
  }
  const unsigned status = core::Value(reply).status;
  if (status < kHttpOk || status >= kHttpSuccessEnd) {
    return session.printer().Fail({ErrorId::kPeerProtocol, core::Value(address),
                                   "HTTP status " + std::to_string(status)});
  }
  session.printer().Print({{"ok", true}, {"router", router}},
                          router + " is draining");
  return ExitCode::kOk;
}

}  // namespace coppervalve::cli
