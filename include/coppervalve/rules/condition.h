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

  /// @return whether all given conditions hold
  /// @complexity logarithmic in the lists of ids, linear in the other lists
  bool Holds(const RequestFacts& facts) const;

 private:
  bool TargetHolds(const RequestFacts& facts) const;
  bool SizesHold(const RequestFacts& facts) const;
  bool PathHolds(const RequestFacts& facts) const;
  bool HeadersHold(const RequestFacts& facts) const;
  bool TimeHolds(uint32_t minute) const;

  std::vector<std::string> m_accounts;  // sorted, like the next three
  std::vector<std::string> m_models;
  std::vector<std::string> m_services;
  std::vector<std::string> m_methods;
  std::vector<std::string> m_path_prefixes;
  std::vector<std::pair<std::string, std::string>> m_headers;
  int64_t m_min_prompt = 0;
  int64_t m_max_prompt = 0;
  int64_t m_output_over = 0;
  bool m_has_window = false;
  uint32_t m_from = 0;
  uint32_t m_until = 0;
};

}  // namespace coppervalve::rules

#endif  // COPPERVALVE_RULES_CONDITION_H_
