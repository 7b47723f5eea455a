#ifndef COPPERVALVE_APPS_COPPERVALVE_ORDER_STATE_H_
#define COPPERVALVE_APPS_COPPERVALVE_ORDER_STATE_H_

#include <string>  // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

struct SettleArguments {
  std::string upstream;
  bool yes = false;
};

/// @brief Lists the latest order of each upstream and its outcome.
ExitCode ListOrders(const Session& session);

/// @brief Ends an order whose outcome is unknown, after describing the risk.
ExitCode SettleOrder(const Session& session, const SettleArguments& arguments);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_ORDER_STATE_H_
