#ifndef COPPERVALVE_TOOLS_LOAD_PLAN_H_
#define COPPERVALVE_TOOLS_LOAD_PLAN_H_

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::load {

/// @brief A class of requests of one client account.
struct ClassPlan {
  std::string name;
  std::string account;
  std::string api_key;
  std::string model;    ///< set for completions
  std::string service;  ///< set for calls of a plain service
  std::string method = "POST";
  std::string path;  ///< path of the call at the service
  bool stream = false;
  bool non_idempotent = false;
  core::Tokens max_tokens;
  size_t prompt_bytes = 0;
  double rate_per_s = 1;  ///< open loop: independent of earlier responses
  size_t requests = 0;
  /// Callers that share the requests, each with its own address list.
  size_t callers = 1;
  size_t max_attempts = 10;
  /// No attempt starts later than this after the request; also the maximum time
  /// without data from the router.
  std::chrono::milliseconds request_timeout{30'000};

  /// @return tokens charged when a request runs
  core::Tokens Cost() const;
};

/// @brief A load run.
struct LoadPlan {
  std::vector<std::string> routers;  ///< any of them returns the address list
  /// Requests start within this time.
  std::chrono::milliseconds max_time{60'000};
  std::vector<ClassPlan> classes;
};

/// @brief Reads a load plan from a JSON file.
/// @error kSettingBadValue, kMalformedJson, kConfigMissingField
core::Result<LoadPlan> ReadPlan(const std::string& path);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_PLAN_H_
