#ifndef COPPERVALVE_APPS_COPPERVALVE_BUDGET_COMMANDS_H_
#define COPPERVALVE_APPS_COPPERVALVE_BUDGET_COMMANDS_H_

#include <cstdint>  // int64_t
#include <string>   // string

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Lists all balances.
ExitCode ListBudgets(const Session& session);

/// @brief Shows one balance and the routers that hold parts of it.
ExitCode ShowBudget(const Session& session, const std::string& budget);

struct TopUpArguments {
  std::string budget;
  int64_t tokens = 0;
  std::string id;  ///< payment id; a random one is used when empty
};

/// @brief Pays tokens into a budget; idempotent per id.
ExitCode TopUp(const Session& session, const TopUpArguments& arguments);

struct ReleaseArguments {
  std::string budget;
  std::string router;
  std::string incarnation;  ///< hex; required when several are quarantined
  bool yes = false;
};

/// @brief Returns the quarantined tokens of a retired router to a budget.
ExitCode ReleaseBudget(const Session& session,
                       const ReleaseArguments& arguments);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_BUDGET_COMMANDS_H_
