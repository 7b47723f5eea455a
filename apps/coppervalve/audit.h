#ifndef COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_
#define COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_

#include "apps/coppervalve/exit_code.h"
#include "apps/coppervalve/session.h"

namespace coppervalve::cli {

/// @brief Folds the retained log and proves for each budget that what was paid
/// in equals what is free, held, billed and written off.
ExitCode Audit(const Session& session);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_AUDIT_H_
