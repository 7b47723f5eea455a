#ifndef COPPERVALVE_CONFIG_TABLES_H_
#define COPPERVALVE_CONFIG_TABLES_H_

#include <cstdint>        // uint32_t
#include <memory>         // shared_ptr
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/config/limits.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::config {

struct Account {
  core::AccountId id;
  core::BudgetId budget;
  uint32_t requests_per_second = 0;  ///< 0 = no limit
  uint32_t burst = 0;  ///< equals requests_per_second when not given
};

struct Budget {
  core::BudgetId id;
  core::AccountId account;
  core::Tokens prepaid;
  uint32_t gate_reserve_permille = 0;
  v1::ReleasePolicy release = v1::ON_PROOF;
};

struct Upstream {
  core::UpstreamId id;
  v1::UpstreamKind kind = v1::UPSTREAM_KIND_UNSPECIFIED;
  std::string address;
  core::FailureDomainId failure_domain;
  std::vector<core::ModelId> models;
  core::ServiceId service;
  bool checks_fencing = false;
  bool repeatable = false;
  uint32_t max_concurrency = kDefaultMaxConcurrency;
  uint32_t price_permille = kDefaultPricePermille;
  core::Tokens call_cost;
};

using UpstreamIds = std::vector<core::UpstreamId>;
using SharedUpstreamIds = std::shared_ptr<const UpstreamIds>;

/// @brief Immutable lookup tables of one configuration, used to decide
/// requests. Safe to read from several threads. All lookups take constant time.
class Tables {
 public:
  explicit Tables(const v1::Configuration& configuration);

  /// @return nullptr when there is none
  const Account* FindAccount(const core::AccountId& id) const;
  /// @param key_sha256 lower-case hex, see core::Sha256Hex
  /// @return nullptr when no account has that key
  const Account* FindAccountByKey(std::string_view key_sha256) const;
  /// @return nullptr when there is none
  const Budget* FindBudget(const core::BudgetId& id) const;
  /// @return nullptr when there is none
  const Upstream* FindUpstream(const core::UpstreamId& id) const;

  /// @return the engines that serve a model, in the file's order; never null
  SharedUpstreamIds UpstreamsOf(const core::ModelId& model) const;
  /// @return the servers of a plain service, in the file's order; never null
  SharedUpstreamIds UpstreamsOf(const core::ServiceId& service) const;

  const std::vector<Account>& accounts() const { return m_accounts; }
  const std::vector<Budget>& budgets() const { return m_budgets; }
  const std::vector<Upstream>& upstreams() const { return m_upstreams; }
  const EffectiveLimits& limits() const { return m_limits; }

 private:
  void AddAccounts(const v1::Configuration& configuration);
  void AddBudgets(const v1::Configuration& configuration);
  void AddUpstreams(const v1::Configuration& configuration);

  EffectiveLimits m_limits;
  std::vector<Account> m_accounts;
  std::vector<Budget> m_budgets;
  std::vector<Upstream> m_upstreams;
  std::unordered_map<core::AccountId, size_t> m_account_by_id;
  std::unordered_map<std::string, size_t> m_account_by_key;
  std::unordered_map<core::BudgetId, size_t> m_budget_by_id;
  std::unordered_map<core::UpstreamId, size_t> m_upstream_by_id;
  std::unordered_map<core::ModelId, SharedUpstreamIds> m_upstreams_by_model;
  std::unordered_map<core::ServiceId, SharedUpstreamIds> m_upstreams_by_service;
  SharedUpstreamIds m_no_upstreams;
};

/// @brief Compiles a checked configuration; on duplicate ids the first wins.
/// @return never null
/// @complexity linear in the configuration
std::shared_ptr<const Tables> Compile(const v1::Configuration& configuration);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_TABLES_H_
