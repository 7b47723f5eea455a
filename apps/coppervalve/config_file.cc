#include "apps/coppervalve/config_file.h"

#include <boost/json/array.hpp>
#include <utility>  // move

#include "coppervalve/config/parse.h"

namespace coppervalve::cli {

namespace {

ExitCode PrintFindings(const Session& session,
                       const config::Findings& findings) {
  boost::json::array list;
  std::string text;
  for (const core::Error& finding : findings) {
    list.push_back(ToJson(finding));
    text += core::ToString(finding) + "\n";
  }
  session.printer().Print({{"ok", false}, {"findings", list}}, text);
  return ExitCode::kFailed;
}

}  // namespace

std::variant<v1::Configuration, ExitCode> LoadConfig(const Session& session,
                                                     const std::string& file) {
  const core::Result<std::string> json = ReadFile(file);
  if (!core::IsOk(json)) {
    return session.printer().Fail(core::Failure(json));
  }
  config::ParseResult parsed = config::ParseOperatorsFile(core::Value(json));
  if (const auto* findings = std::get_if<config::Findings>(&parsed)) {
    return PrintFindings(session, *findings);
  }
  return std::get<v1::Configuration>(std::move(parsed));
}

}  // namespace coppervalve::cli
