#ifndef COPPERVALVE_APPS_COPPERVALVE_ORDER_H_
#define COPPERVALVE_APPS_COPPERVALVE_ORDER_H_

#include <string>  // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Arguments of the order command; exactly one of the last three is set.
struct OrderArguments {
  std::string upstream;
  std::string load_model;
  std::string load_adapter;
  std::string change_role;
};

/// @brief Issues an order to a model engine; its fencing number is the offset
/// of its record in the log.
ExitCode IssueOrder(const Session& session, const OrderArguments& arguments);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_ORDER_H_
