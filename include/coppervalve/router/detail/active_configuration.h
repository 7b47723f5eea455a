#ifndef COPPERVALVE_ROUTER_DETAIL_ACTIVE_CONFIGURATION_H_
#define COPPERVALVE_ROUTER_DETAIL_ACTIVE_CONFIGURATION_H_

#include <cstdint>        // uint32_t
#include <memory>         // shared_ptr
#include <unordered_map>  // unordered_map

#include "coppervalve/config/tables.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/router/events.h"
#include "coppervalve/rules/rule_set.h"

namespace coppervalve::router::detail {

/// @brief The configuration in force on this router, compiled.
class ActiveConfiguration {
 public:
  ActiveConfiguration();

  /// @brief Installs the configuration of the fold if it is newer.
  /// @return whether it was installed; dependent components must then be
  /// updated
  bool Update(const ledger::Fold& fold);

  core::ConfigVersion version() const { return m_version; }
  const config::Tables& tables() const { return *m_tables; }
  const rules::RuleSet& rules() const { return *m_rules; }

  /// @brief Maximum cost in tokens of one attempt at any of the candidates.
  /// @param prompt upper bound of the prompt tokens
  /// @complexity linear in the candidates the first time, then constant
  core::Tokens CostBound(const config::SharedUpstreamIds& candidates,
                         core::Tokens prompt,
                         core::Tokens output);
  /// @brief Cost of an answered attempt.
  /// @param usage none for a plain service
  core::Tokens CostAt(const core::UpstreamId& upstream,
                      const std::optional<Usage>& usage) const;

 private:
  struct MaxPrice {
    uint32_t price_permille = 0;
    core::Tokens call_cost;
  };

  const MaxPrice& MaxPriceOf(const config::SharedUpstreamIds& candidates);

  core::ConfigVersion m_version;
  std::shared_ptr<const config::Tables> m_tables;
  std::shared_ptr<const rules::RuleSet> m_rules;
  std::unordered_map<config::SharedUpstreamIds, MaxPrice> m_max_prices;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_ACTIVE_CONFIGURATION_H_
