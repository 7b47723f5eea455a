#ifndef COPPERVALVE_RULES_RULE_SET_H_
#define COPPERVALVE_RULES_RULE_SET_H_

#include <memory>         // shared_ptr
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/config/rule_index.h"
#include "coppervalve/config/tables.h"
#include "coppervalve/rules/condition.h"
#include "coppervalve/rules/decision.h"
#include "coppervalve/rules/facts.h"

namespace coppervalve::rules {

/// @brief Compiled rules of one configuration; the first matching rule decides.
/// Immutable and thread-safe.
class RuleSet {
 public:
  /// @param tables compiled from the same configuration
  RuleSet(const v1::Configuration& configuration,
          std::shared_ptr<const config::Tables> tables);
  /// @brief Compiles the tables itself.
  explicit RuleSet(const v1::Configuration& configuration);

  /// @complexity linear in the rules that name the request's account (or none)
  /// and its model or service (or none)
  Decision Match(const RequestFacts& facts) const;

  /// @brief Returns the same decision by testing the rules one by one; the
  /// reference for tests and the baseline of the benchmark.
  /// @complexity linear in the number of rules
  Decision MatchLinear(const RequestFacts& facts) const;

  size_t size() const { return m_rules.size(); }

 private:
  struct Rule {
    Condition condition;
    std::variant<Route, Refused> outcome;
    /// Upstreams listed by the rule, by model or service; empty when the rule
    /// lists none.
    std::unordered_map<core::ModelId, config::SharedUpstreamIds> by_model;
    std::unordered_map<core::ServiceId, config::SharedUpstreamIds> by_service;
    bool lists_upstreams = false;
  };

  Rule CompileRule(const v1::Rule& rule) const;
  Route CompileRoute(const v1::Rule& rule) const;
  void AddCandidates(const v1::Route& route, Rule& compiled) const;
  config::SharedUpstreamIds Candidates(const Rule& rule,
                                       const RequestFacts& facts) const;
  Decision Decide(const Rule& rule, const RequestFacts& facts) const;

  std::shared_ptr<const config::Tables> m_tables;
  std::vector<Rule> m_rules;
  config::RuleIndex m_index;
  config::SharedUpstreamIds m_no_upstreams;
};

}  // namespace coppervalve::rules

#endif  // COPPERVALVE_RULES_RULE_SET_H_
