#ifndef COPPERVALVE_TOOLS_LOAD_PLAN_H_
#define COPPERVALVE_TOOLS_LOAD_PLAN_H_

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::load {

/// @brief One kind of work of one client account.
struct ClassPlan {
  std::string name;
  std::string account;
  std::string api_key;
  std::string model;    ///< a completion; else `service` is set
  std::string service;  ///< a call of a plain service
  std::string method = "POST";
  std::string path;  ///< at the service
  bool stream = false;
  bool non_idempotent = false;
  core::Tokens max_tokens;
  size_t prompt_bytes = 0;
  double rate_per_s = 1;  ///< starts, whether or not earlier ones have ended
  size_t requests = 0;
  /// Callers that share the work, each with its own list of addresses.
  size_t callers = 1;
  size_t max_attempts = 10;
  /// No attempt starts later than this after the request.
  std::chrono::milliseconds patience{30'000};

  /// @return tokens that a request costs when it runs
  core::Tokens Cost() const;
};

/// @brief One run.
struct LoadPlan {
  std::vector<std::string> routers;  ///< any of them is asked for addresses
  std::chrono::milliseconds max_time{60'000};  ///< no request starts later
  std::vector<ClassPlan> classes;
};

/// @brief Reads a plan from a JSON file.
/// @error kSettingBadValue, kMalformedJson, kConfigMissingField
core::Result<LoadPlan> ReadPlan(const std::string& path);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_PLAN_H_
