#include "coppervalve/rules/condition.h"

#include <algorithm>  // all_of, any_of, binary_search, sort

namespace coppervalve::rules {

namespace {

std::vector<std::string> Sorted(
    const google::protobuf::RepeatedPtrField<std::string>& list) {
  std::vector<std::string> sorted(list.begin(), list.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

bool EmptyOrContains(const std::vector<std::string>& sorted,
                     std::string_view value) {
  return sorted.empty() ||
         std::binary_search(sorted.begin(), sorted.end(), value);
}

std::string ToLower(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return text;
}

}  // namespace

Condition::Condition(const v1::When& when)
    : m_accounts(Sorted(when.accounts())),
      m_models(Sorted(when.models())),
      m_services(Sorted(when.services())),
      m_methods(Sorted(when.methods())),
      m_path_prefixes(when.path_prefixes().begin(), when.path_prefixes().end()),
      m_min_prompt(when.min_prompt_bytes()),
      m_max_prompt(when.max_prompt_bytes()),
      m_output_lower_bound(when.max_output_tokens_over()),
      m_has_window(when.has_time_window()),
      m_from_minute(when.time_window().from_minute()),
      m_until_minute(when.time_window().until_minute()) {
  for (const v1::HeaderMatch& header : when.headers()) {
    m_headers.emplace_back(ToLower(header.name()), header.equals());
  }
}

bool Condition::Matches(const RequestFacts& facts) const {
  return EmptyOrContains(m_accounts, facts.account.value()) &&
         TargetMatches(facts) && SizesMatch(facts) &&
         EmptyOrContains(m_methods, facts.method) && PathMatches(facts) &&
         HeadersMatch(facts) && TimeMatches(facts.minute_of_day);
}

bool Condition::TargetMatches(const RequestFacts& facts) const {
  return EmptyOrContains(m_models, facts.model.value()) &&
         EmptyOrContains(m_services, facts.service.value());
}

bool Condition::SizesMatch(const RequestFacts& facts) const {
  const int64_t prompt = facts.prompt.value();
  if (prompt < m_min_prompt || (m_max_prompt != 0 && prompt > m_max_prompt)) {
    return false;
  }
  return m_output_lower_bound == 0 ||
         facts.max_output_tokens.value() > m_output_lower_bound;
}

bool Condition::PathMatches(const RequestFacts& facts) const {
  return m_path_prefixes.empty() ||
         std::any_of(m_path_prefixes.begin(), m_path_prefixes.end(),
                     [&](const std::string& prefix) {
                       return facts.path.starts_with(prefix);
                     });
}

bool Condition::HeadersMatch(const RequestFacts& facts) const {
  return std::all_of(
      m_headers.begin(), m_headers.end(), [&](const auto& wanted) {
        return std::any_of(
            facts.headers.begin(), facts.headers.end(), [&](const auto& given) {
              return given.first == wanted.first &&
                     (wanted.second.empty() || given.second == wanted.second);
            });
      });
}

bool Condition::TimeMatches(uint32_t minute) const {
  if (!m_has_window) {
    return true;
  }
  if (m_from_minute <= m_until_minute) {
    return minute >= m_from_minute && minute < m_until_minute;
  }
  return minute >= m_from_minute || minute < m_until_minute;
}

}  // namespace coppervalve::rules
