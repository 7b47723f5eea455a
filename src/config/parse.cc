#include "coppervalve/config/parse.h"

#include <google/protobuf/util/json_util.h>

#include <string>   // string
#include <utility>  // move

#include "coppervalve/config/check.h"
#include "json_tree.h"
#include "schema_checker.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;

constexpr size_t kMaxFileBytes = size_t{8} << 20U;

}  // namespace

ParseResult ParseOperatorsFile(std::string_view json) {
  if (json.size() > kMaxFileBytes) {
    return Findings{{ErrorId::kConfigTooLarge, "$",
                     std::to_string(json.size()) + " bytes, at most " +
                         std::to_string(kMaxFileBytes)}};
  }
  const core::Result<JsonNode> tree = ReadJson(json);
  if (!core::IsOk(tree)) {
    return Findings{core::Failure(tree)};
  }
  // protobuf's own errors give no path and report only the first problem, so
  // only JSON that passed the schema check is converted.
  Findings findings =
      CheckSchema(core::Value(tree), *v1::Configuration::descriptor());
  if (!findings.empty()) {
    return findings;
  }
  v1::Configuration configuration;
  const auto status = google::protobuf::util::JsonStringToMessage(
      std::string(json), &configuration);
  if (!status.ok()) {
    return Findings{
        {ErrorId::kConfigSyntax, "$", std::string(status.message())}};
  }
  findings = CheckSemantics(configuration);
  if (!findings.empty()) {
    return findings;
  }
  return configuration;
}

}  // namespace coppervalve::config
