#include <boost/json/array.hpp>
#include <optional>  // optional

#include "apps/coppervalve/fleet_commands.h"
#include "apps/coppervalve/router_client.h"

namespace coppervalve::cli {

namespace {

using core::ErrorId;

bool IsKnown(const boost::json::object& status) {
  return MemberText(status, "error") != core::ErrorCode(ErrorId::kNotFound);
}

}  // namespace

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
    const auto status = GetObject(session, address, target);
    if (!core::IsOk(status)) {
      failure = core::Failure(status);
      continue;
    }
    const boost::json::object& document = core::Value(status);
    if (!IsKnown(document)) {
      continue;
    }
    list.push_back(
        boost::json::object{{"endpoint", address}, {"status", document}});
    table.Add({address, MemberText(document, "state"),
               MemberText(document, "run_state"),
               MemberText(document, "upstream"), MemberText(document, "error"),
               MemberText(document, "age_ms")});
  }
  if (!list.empty()) {
    session.printer().Print({{"requests", list}}, table.ToString());
    return ExitCode::kOk;
  }
  // A router that did not answer may hold the record of this key.
  return session.printer().Fail(failure.value_or(
      core::Error{ErrorId::kNotFound, key, "no router knows this key"}));
}

}  // namespace coppervalve::cli
