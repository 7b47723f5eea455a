#include "coppervalve/rules/rule_set.h"

#include <algorithm>  // min
#include <chrono>     // milliseconds, seconds
#include <utility>    // move

namespace coppervalve::rules {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Refused CompileRefusal(const v1::Rule& rule) {
  const v1::Refuse& refuse = rule.then().refuse();
  Refused refused{core::RuleId(rule.id()), refuse.reason(), std::nullopt};
  if (refuse.retry_after_s() != 0) {
    refused.retry_after = seconds(refuse.retry_after_s());
  }
  return refused;
}

template <typename Key>
std::unordered_map<Key, config::SharedUpstreamIds> ToShared(
    std::unordered_map<Key, config::UpstreamIds> lists) {
  std::unordered_map<Key, config::SharedUpstreamIds> shared;
  for (auto& [key, list] : lists) {
    shared.emplace(
        key, std::make_shared<const config::UpstreamIds>(std::move(list)));
  }
  return shared;
}

}  // namespace

RuleSet::RuleSet(const v1::Configuration& configuration)
    : RuleSet(configuration, config::Compile(configuration)) {}

RuleSet::RuleSet(const v1::Configuration& configuration,
                 std::shared_ptr<const config::Tables> tables)
    : m_tables(std::move(tables)),
      m_no_upstreams(std::make_shared<const config::UpstreamIds>()) {
  m_rules.reserve(static_cast<size_t>(configuration.rules_size()));
  for (const v1::Rule& rule : configuration.rules()) {
    m_rules.push_back(CompileRule(rule));
    m_index.Add(rule.when());
  }
}

Decision RuleSet::Match(const RequestFacts& facts) const {
  config::RuleIndex::Cursor cursor = m_index.Find(
      facts.account.value(), facts.model.value(), facts.service.value());
  for (size_t position = cursor.Next();
       position != config::RuleIndex::Cursor::kEnd; position = cursor.Next()) {
    const Rule& rule = m_rules[position];
    if (rule.condition.Matches(facts)) {
      return Decide(rule, facts);
    }
  }
  return NoMatch{};
}

Decision RuleSet::MatchLinear(const RequestFacts& facts) const {
  for (const Rule& rule : m_rules) {
    if (rule.condition.Matches(facts)) {
      return Decide(rule, facts);
    }
  }
  return NoMatch{};
}

RuleSet::Rule RuleSet::CompileRule(const v1::Rule& rule) const {
  Rule compiled{Condition(rule.when()), {}, {}, {}, false};
  if (!rule.then().has_route()) {
    compiled.outcome = CompileRefusal(rule);
    return compiled;
  }
  compiled.outcome = CompileRoute(rule);
  AddCandidates(rule.then().route(), compiled);
  return compiled;
}

Route RuleSet::CompileRoute(const v1::Rule& rule) const {
  const v1::Route& route = rule.then().route();
  const config::EffectiveLimits& limits = m_tables->limits();
  Route compiled;
  compiled.rule = core::RuleId(rule.id());
  compiled.candidates = m_no_upstreams;
  compiled.admission_class = route.admission_class();
  compiled.non_idempotent = route.non_idempotent();
  compiled.max_output_tokens = limits.max_output;
  if (route.max_output_tokens() != 0) {
    compiled.max_output_tokens =
        std::min(limits.max_output, core::Tokens(route.max_output_tokens()));
  }
  compiled.max_queue = route.max_queue_ms() != 0
                           ? core::Duration(milliseconds(route.max_queue_ms()))
                           : limits.QueueFor(route.admission_class());
  compiled.max_attempts = route.max_attempts() != 0
                              ? route.max_attempts()
                              : config::kDefaultMaxAttempts;
  return compiled;
}

void RuleSet::AddCandidates(const v1::Route& route, Rule& compiled) const {
  compiled.lists_upstreams = route.upstreams_size() != 0;
  std::unordered_map<core::ModelId, config::UpstreamIds> by_model;
  std::unordered_map<core::ServiceId, config::UpstreamIds> by_service;
  for (const std::string& id : route.upstreams()) {
    const config::Upstream* upstream =
        m_tables->FindUpstream(core::UpstreamId(id));
    if (upstream == nullptr) {
      continue;
    }
    for (const core::ModelId& model : upstream->models) {
      by_model[model].push_back(upstream->id);
    }
    if (!upstream->service.empty()) {
      by_service[upstream->service].push_back(upstream->id);
    }
  }
  compiled.by_model = ToShared(std::move(by_model));
  compiled.by_service = ToShared(std::move(by_service));
}

config::SharedUpstreamIds RuleSet::Candidates(const Rule& rule,
                                              const RequestFacts& facts) const {
  if (!rule.lists_upstreams) {
    return facts.model.empty() ? m_tables->UpstreamsOf(facts.service)
                               : m_tables->UpstreamsOf(facts.model);
  }
  if (!facts.model.empty()) {
    const auto found = rule.by_model.find(facts.model);
    return found == rule.by_model.end() ? m_no_upstreams : found->second;
  }
  const auto found = rule.by_service.find(facts.service);
  return found == rule.by_service.end() ? m_no_upstreams : found->second;
}

Decision RuleSet::Decide(const Rule& rule, const RequestFacts& facts) const {
  if (const auto* refused = std::get_if<Refused>(&rule.outcome)) {
    return *refused;
  }
  Route route = std::get<Route>(rule.outcome);
  route.candidates = Candidates(rule, facts);
  return route;
}

}  // namespace coppervalve::rules
