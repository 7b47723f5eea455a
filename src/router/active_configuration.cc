#include "coppervalve/router/detail/active_configuration.h"

#include <algorithm>  // max

namespace coppervalve::router::detail {

using core::Tokens;

namespace {

constexpr int64_t kPermille = 1000;

Tokens Priced(Tokens tokens, uint32_t price_permille) {
  const int64_t scaled = tokens.value() * price_permille;
  return Tokens((scaled + kPermille - 1) / kPermille);
}

}  // namespace

ActiveConfiguration::ActiveConfiguration()
    : m_tables(config::Compile({})),
      m_rules(std::make_shared<rules::RuleSet>(v1::Configuration{}, m_tables)) {
}

// A fold rebuilt from an older snapshot passes through earlier versions.
// Installing one would revert a change that was reported to operators as in
// force.
bool ActiveConfiguration::Update(const ledger::Fold& fold) {
  if (fold.config_version() <= m_version) {
    return false;
  }
  m_version = fold.config_version();
  m_tables = config::Compile(*fold.configuration());
  m_rules = std::make_shared<rules::RuleSet>(*fold.configuration(), m_tables);
  m_max_prices.clear();
  return true;
}

const ActiveConfiguration::MaxPrice& ActiveConfiguration::MaxPriceOf(
    const config::SharedUpstreamIds& candidates) {
  const auto [entry, is_new] = m_max_prices.try_emplace(candidates);
  if (!is_new) {
    return entry->second;
  }
  for (const core::UpstreamId& id : *candidates) {
    const config::Upstream* upstream = m_tables->FindUpstream(id);
    if (upstream == nullptr) {
      continue;
    }
    MaxPrice& max_price = entry->second;
    max_price.price_permille =
        std::max(max_price.price_permille, upstream->price_permille);
    max_price.call_cost = std::max(max_price.call_cost, upstream->call_cost);
  }
  return entry->second;
}

Tokens ActiveConfiguration::CostBound(
    const config::SharedUpstreamIds& candidates,
    Tokens prompt,
    Tokens output) {
  const MaxPrice& max_price = MaxPriceOf(candidates);
  return Priced(prompt + output, max_price.price_permille) +
         max_price.call_cost;
}

Tokens ActiveConfiguration::CostAt(const core::UpstreamId& id,
                                   const std::optional<Usage>& usage) const {
  const config::Upstream* upstream = m_tables->FindUpstream(id);
  if (upstream == nullptr) {
    return Tokens(0);
  }
  if (!usage.has_value()) {
    return upstream->call_cost;
  }
  return Priced(usage->prompt + usage->output, upstream->price_permille) +
         upstream->call_cost;
}

}  // namespace coppervalve::router::detail
