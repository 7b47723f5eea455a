#ifndef COPPERVALVE_CONFIG_CHECK_H_
#define COPPERVALVE_CONFIG_CHECK_H_

#include "coppervalve/config.pb.h"
#include "coppervalve/config/parse.h"
#include "coppervalve/core/result.h"

namespace coppervalve::config {

/// @brief Checks what the schema cannot express: ids, references, ranges, and
/// rules that can never match.
/// @return all findings; empty when the configuration may be published
/// @complexity linear in the configuration, plus for each rule the earlier
/// rules that share its first account and its first model or service
Findings CheckSemantics(const v1::Configuration& configuration);

/// @brief Checks that one configuration may follow another: a budget keeps its
/// owner, is not removed, and its prepaid tokens do not shrink.
/// @return kConfigPrepaidShrinks with the path in `newer` (or, for a removed
/// budget, its id) of the first violation
/// @complexity linear in the number of budgets
core::Status CheckSuccessor(const v1::Configuration& older,
                            const v1::Configuration& newer);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_CHECK_H_
