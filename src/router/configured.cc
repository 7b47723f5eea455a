#include "coppervalve/router/detail/configured.h"

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

Configured::Configured()
    : m_tables(config::Compile({})),
      m_rules(std::make_shared<rules::RuleSet>(v1::Configuration{}, m_tables)) {
}

// A fold rebuilt from an older snapshot passes through earlier versions.
// Installing one would revert a change that operators were told is in force.
bool Configured::Follow(const ledger::Fold& fold) {
  if (fold.config_version() <= m_version) {
    return false;
  }
  m_version = fold.config_version();
  m_tables = config::Compile(*fold.configuration());
  m_rules = std::make_shared<rules::RuleSet>(*fold.configuration(), m_tables);
  m_dearest.clear();
  return true;
}

const Configured::Dearest& Configured::DearestOf(
    const config::SharedUpstreamIds& candidates) {
  const auto [entry, is_new] = m_dearest.try_emplace(candidates);
  if (!is_new) {
    return entry->second;
  }
  for (const core::UpstreamId& id : *candidates) {
    const config::Upstream* upstream = m_tables->FindUpstream(id);
    if (upstream == nullptr) {
      continue;
    }
    Dearest& dearest = entry->second;
    dearest.price_permille =
        std::max(dearest.price_permille, upstream->price_permille);
    dearest.call_cost = std::max(dearest.call_cost, upstream->call_cost);
  }
  return entry->second;
}

Tokens Configured::BoundOf(const config::SharedUpstreamIds& candidates,
                           Tokens prompt,
                           Tokens output) {
  const Dearest& dearest = DearestOf(candidates);
  return Priced(prompt + output, dearest.price_permille) + dearest.call_cost;
}

Tokens Configured::CostAt(const core::UpstreamId& id,
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
