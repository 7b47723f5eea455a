#include "coppervalve/config/tables.h"

#include <utility>  // move

namespace coppervalve::config {

namespace {

Upstream MakeUpstream(const v1::Upstream& upstream) {
  Upstream view;
  view.id = core::UpstreamId(upstream.id());
  view.kind = upstream.kind();
  view.address = upstream.address();
  view.failure_domain = core::FailureDomainId(upstream.failure_domain());
  for (const std::string& model : upstream.models()) {
    view.models.emplace_back(model);
  }
  view.service = core::ServiceId(upstream.service());
  view.checks_fencing = upstream.checks_fencing();
  view.repeatable = upstream.repeatable();
  if (upstream.max_concurrency() != 0) {
    view.max_concurrency = upstream.max_concurrency();
  }
  if (upstream.price_permille() != 0) {
    view.price_permille = upstream.price_permille();
  }
  view.call_cost = core::Tokens(upstream.call_cost_tokens());
  return view;
}

template <typename Key>
std::unordered_map<Key, SharedUpstreamIds> ToShared(
    std::unordered_map<Key, UpstreamIds> lists) {
  std::unordered_map<Key, SharedUpstreamIds> shared;
  for (auto& [key, list] : lists) {
    shared.emplace(key, std::make_shared<const UpstreamIds>(std::move(list)));
  }
  return shared;
}

template <typename Key>
SharedUpstreamIds FindList(
    const std::unordered_map<Key, SharedUpstreamIds>& lists,
    const Key& key,
    const SharedUpstreamIds& fallback) {
  const auto found = lists.find(key);
  return found == lists.end() ? fallback : found->second;
}

template <typename Key, typename Row>
const Row* FindRow(const std::unordered_map<Key, size_t>& index,
                   const std::vector<Row>& rows,
                   const Key& key) {
  const auto found = index.find(key);
  return found == index.end() ? nullptr : &rows[found->second];
}

}  // namespace

Tables::Tables(const v1::Configuration& configuration)
    : m_limits(config::ResolveLimits(configuration.limits())),
      m_no_upstreams(std::make_shared<const UpstreamIds>()) {
  AddAccounts(configuration);
  AddBudgets(configuration);
  AddUpstreams(configuration);
}

void Tables::AddAccounts(const v1::Configuration& configuration) {
  for (const v1::Account& account : configuration.accounts()) {
    const size_t position = m_accounts.size();
    const core::AccountId id(account.id());
    if (!m_account_by_id.emplace(id, position).second) {
      continue;
    }
    const uint32_t rate = account.requests_per_second();
    m_accounts.push_back({id, core::BudgetId(account.budget()), rate,
                          account.burst() != 0 ? account.burst() : rate});
    for (const std::string& key : account.api_key_sha256()) {
      m_account_by_key.emplace(key, position);
    }
  }
}

void Tables::AddBudgets(const v1::Configuration& configuration) {
  for (const v1::Budget& budget : configuration.budgets()) {
    const core::BudgetId id(budget.id());
    if (!m_budget_by_id.emplace(id, m_budgets.size()).second) {
      continue;
    }
    m_budgets.push_back({id, core::AccountId(budget.account()),
                         core::Tokens(budget.prepaid_tokens()),
                         budget.gate_reserve_permille(), budget.release()});
  }
}

void Tables::AddUpstreams(const v1::Configuration& configuration) {
  std::unordered_map<core::ModelId, UpstreamIds> by_model;
  std::unordered_map<core::ServiceId, UpstreamIds> by_service;
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    Upstream view = MakeUpstream(upstream);
    if (!m_upstream_by_id.emplace(view.id, m_upstreams.size()).second) {
      continue;
    }
    for (const core::ModelId& model : view.models) {
      by_model[model].push_back(view.id);
    }
    if (!view.service.empty()) {
      by_service[view.service].push_back(view.id);
    }
    m_upstreams.push_back(std::move(view));
  }
  m_upstreams_by_model = ToShared(std::move(by_model));
  m_upstreams_by_service = ToShared(std::move(by_service));
}

const Account* Tables::FindAccount(const core::AccountId& id) const {
  return FindRow(m_account_by_id, m_accounts, id);
}

const Account* Tables::FindAccountByKey(std::string_view key_sha256) const {
  return FindRow(m_account_by_key, m_accounts, std::string(key_sha256));
}

const Budget* Tables::FindBudget(const core::BudgetId& id) const {
  return FindRow(m_budget_by_id, m_budgets, id);
}

const Upstream* Tables::FindUpstream(const core::UpstreamId& id) const {
  return FindRow(m_upstream_by_id, m_upstreams, id);
}

SharedUpstreamIds Tables::UpstreamsOf(const core::ModelId& model) const {
  return FindList(m_upstreams_by_model, model, m_no_upstreams);
}

SharedUpstreamIds Tables::UpstreamsOf(const core::ServiceId& service) const {
  return FindList(m_upstreams_by_service, service, m_no_upstreams);
}

std::shared_ptr<const Tables> Compile(const v1::Configuration& configuration) {
  return std::make_shared<const Tables>(configuration);
}

}  // namespace coppervalve::config
