#ifndef COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_
#define COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Folds the retained log and verifies for each budget that the tokens
/// paid in equal the sum of those free, held, billed and written off.
ExitCode Audit(const Session& session);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_
