#include "semantic_checks.h"
#include "values.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;

constexpr int64_t kMaxRate = 1'000'000;
// 10^15, so that sums of a million such amounts still fit 64 bits after
// pricing.
constexpr int64_t kMaxPrepaid = 1'000'000'000'000'000;
constexpr int64_t kWholePermille = 1000;

void CheckRate(const v1::Account& account,
               const std::string& path,
               Report& report) {
  report.CheckRange(account.requests_per_second(), 0, kMaxRate,
                    path + ".requests_per_second");
  report.CheckRange(account.burst(), 0, kMaxRate, path + ".burst");
  if (account.burst() != 0 && account.requests_per_second() == 0) {
    report.Add(ErrorId::kConfigBadValue, path + ".burst",
               "has no effect without requests_per_second");
  }
}

}  // namespace

void CheckAccounts(const v1::Configuration& configuration,
                   const DefinedNames& names,
                   Report& report) {
  std::unordered_map<std::string, std::string> ids;
  std::unordered_map<std::string, std::string> keys;
  for (int i = 0; i < configuration.accounts_size(); ++i) {
    const v1::Account& account = configuration.accounts(i);
    const std::string path = ItemPath("$.accounts", static_cast<size_t>(i));
    report.CheckUniqueId(account.id(), path + ".id", ids);
    if (report.CheckPresent(account.budget(), path + ".budget") &&
        !names.budgets.contains(account.budget())) {
      report.Add(ErrorId::kConfigUnknownReference, path + ".budget",
                 "no budget '" + account.budget() + "'");
    }
    CheckRate(account, path, report);
    for (int k = 0; k < account.api_key_sha256_size(); ++k) {
      const std::string& key = account.api_key_sha256(k);
      const std::string key_path =
          ItemPath(path + ".api_key_sha256", static_cast<size_t>(k));
      if (!IsSha256Hex(key)) {
        report.Add(ErrorId::kConfigBadValue, key_path,
                   "must be 64 lower-case hex digits");
        continue;
      }
      report.CheckUnique(key, key_path, keys);
    }
  }
}

void CheckBudgets(const v1::Configuration& configuration,
                  const DefinedNames& names,
                  Report& report) {
  std::unordered_map<std::string, std::string> ids;
  for (int i = 0; i < configuration.budgets_size(); ++i) {
    const v1::Budget& budget = configuration.budgets(i);
    const std::string path = ItemPath("$.budgets", static_cast<size_t>(i));
    report.CheckUniqueId(budget.id(), path + ".id", ids);
    if (report.CheckPresent(budget.account(), path + ".account") &&
        !names.accounts.contains(budget.account())) {
      report.Add(ErrorId::kConfigUnknownReference, path + ".account",
                 "no account '" + budget.account() + "'");
    }
    report.CheckRange(budget.prepaid_tokens(), 0, kMaxPrepaid,
                      path + ".prepaid_tokens");
    report.CheckRange(budget.gate_reserve_permille(), 0, kWholePermille,
                      path + ".gate_reserve_permille");
  }
}

}  // namespace coppervalve::config
