#include "coppervalve/config/check.h"

#include <unordered_map>  // unordered_map

#include "semantic_checks.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;

// A configuration is stored as one log record and sent to each router as one
// message.
constexpr size_t kMaxRecordBytes = size_t{4} << 20U;
constexpr int kMaxItems = 10'000;
constexpr size_t kMaxNameSize = 200;

void CheckSizes(const v1::Configuration& configuration, Report& report) {
  const auto check = [&](int size, const char* path) {
    if (size > kMaxItems) {
      report.Add(ErrorId::kConfigTooLarge, path,
                 std::to_string(size) + " items, at most " +
                     std::to_string(kMaxItems));
    }
  };
  check(configuration.accounts_size(), "$.accounts");
  check(configuration.budgets_size(), "$.budgets");
  check(configuration.upstreams_size(), "$.upstreams");
  check(configuration.rules_size(), "$.rules");
  if (configuration.ByteSizeLong() > kMaxRecordBytes) {
    report.Add(ErrorId::kConfigTooLarge, "$",
               std::to_string(configuration.ByteSizeLong()) +
                   " bytes as a record, at most " +
                   std::to_string(kMaxRecordBytes));
  }
  if (configuration.name().size() > kMaxNameSize) {
    report.Add(ErrorId::kConfigTooLarge, "$.name", "at most 200 bytes");
  }
}

}  // namespace

Findings CheckSemantics(const v1::Configuration& configuration) {
  Report size_report;
  CheckSizes(configuration, size_report);
  Findings too_large = size_report.TakeFindings();
  if (!too_large.empty()) {
    return too_large;
  }
  Report report;
  const DefinedNames names(configuration);
  report.CheckPresent(configuration.name(), "$.name");
  CheckAccounts(configuration, names, report);
  CheckBudgets(configuration, names, report);
  CheckUpstreams(configuration, report);
  CheckRules(configuration, names, report);
  CheckLimits(configuration.limits(), report);
  CheckReachability(configuration, report);
  return report.TakeFindings();
}

core::Status CheckSuccessor(const v1::Configuration& older,
                            const v1::Configuration& newer) {
  std::unordered_map<std::string, int> positions;
  for (int i = 0; i < newer.budgets_size(); ++i) {
    positions.emplace(newer.budgets(i).id(), i);
  }
  for (const v1::Budget& before : older.budgets()) {
    const auto found = positions.find(before.id());
    if (found == positions.end()) {
      return core::Error{ErrorId::kConfigPrepaidShrinks,
                         "$.budgets[id=" + before.id() + "]",
                         "a published budget may not be removed"};
    }
    const v1::Budget& after = newer.budgets(found->second);
    const std::string path =
        ItemPath("$.budgets", static_cast<size_t>(found->second));
    if (after.prepaid_tokens() < before.prepaid_tokens()) {
      return core::Error{ErrorId::kConfigPrepaidShrinks,
                         path + ".prepaid_tokens",
                         std::to_string(after.prepaid_tokens()) +
                             " is less than the published " +
                             std::to_string(before.prepaid_tokens())};
    }
    if (after.account() != before.account()) {
      return core::Error{ErrorId::kConfigPrepaidShrinks, path + ".account",
                         "account '" + before.account() +
                             "' has paid for the published budget, so its "
                             "owner may not change"};
    }
  }
  return core::Ok();
}

}  // namespace coppervalve::config
