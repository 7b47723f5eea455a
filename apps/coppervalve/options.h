#ifndef COPPERVALVE_APPS_COPPERVALVE_OPTIONS_H_
#define COPPERVALVE_APPS_COPPERVALVE_OPTIONS_H_

#include <chrono>  // milliseconds
#include <string>  // string
#include <vector>  // vector

namespace coppervalve::cli {

/// @brief Settings that all commands share.
struct Options {
  std::string log;                   ///< "ip:port" of the log service
  std::vector<std::string> routers;  ///< "ip:port" of operator endpoints
  std::string operator_name;
  std::string operator_token;
  bool json = false;
  std::chrono::milliseconds call_timeout{10'000};
};

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_OPTIONS_H_
