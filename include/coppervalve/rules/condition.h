#ifndef COPPERVALVE_RULES_CONDITION_H_
#define COPPERVALVE_RULES_CONDITION_H_

#include <cstdint>  // int64_t, uint32_t
#include <string>   // string
#include <utility>  // pair
#include <vector>   // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/rules/facts.h"

namespace coppervalve::rules {

/// @brief The compiled `when` of one rule.
class Condition {
 public:
  explicit Condition(const v1::When& when);

  /// @return whether the request meets all conditions that are set
  /// @complexity logarithmic in the lists of ids, linear in the other lists
  bool Matches(const RequestFacts& facts) const;

 private:
  bool TargetMatches(const RequestFacts& facts) const;
  bool SizesMatch(const RequestFacts& facts) const;
  bool PathMatches(const RequestFacts& facts) const;
  bool HeadersMatch(const RequestFacts& facts) const;
  bool TimeMatches(uint32_t minute) const;

  std::vector<std::string> m_accounts;  // sorted, as are the next three
  std::vector<std::string> m_models;
  std::vector<std::string> m_services;
  std::vector<std::string> m_methods;
  std::vector<std::string> m_path_prefixes;
  std::vector<std::pair<std::string, std::string>> m_headers;
  int64_t m_min_prompt = 0;
  int64_t m_max_prompt = 0;
  int64_t m_output_lower_bound = 0;
  bool m_has_window = false;
  uint32_t m_from_minute = 0;
  uint32_t m_until_minute = 0;
};

}  // namespace coppervalve::rules

#endif  // COPPERVALVE_RULES_CONDITION_H_
