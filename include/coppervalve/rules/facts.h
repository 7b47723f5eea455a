#ifndef COPPERVALVE_RULES_FACTS_H_
#define COPPERVALVE_RULES_FACTS_H_

#include <cstdint>      // uint32_t
#include <span>         // span
#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // pair

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::rules {

/// @brief Properties of a request that the conditions of a rule can test. The
/// views need to stay valid only during the match.
struct RequestFacts {
  core::AccountId account;
  core::ModelId model;      ///< set for models only
  core::ServiceId service;  ///< set for plain services only
  std::string_view method;
  std::string_view path;
  /// Names in lower case.
  std::span<const std::pair<std::string, std::string>> headers;
  core::Bytes prompt;
  core::Tokens max_output_tokens;  ///< requested; 0 = not given
  uint32_t minute_of_day = 0;      ///< UTC, 0..1439
};

}  // namespace coppervalve::rules

#endif  // COPPERVALVE_RULES_FACTS_H_
