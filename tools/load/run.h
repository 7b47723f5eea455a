#ifndef COPPERVALVE_TOOLS_LOAD_RUN_H_
#define COPPERVALVE_TOOLS_LOAD_RUN_H_

#include <boost/json/object.hpp>

#include "coppervalve/core/result.h"
#include "tools/load/false_refusals.h"
#include "tools/load/plan.h"

namespace coppervalve::load {

/// @brief Sends the requests of a plan and waits until all have ended, at most
/// for the plan's maximum time and twice the longest request timeout, plus a
/// margin.
/// @return the report
/// @error those of reading the log, when false refusals are counted
core::Result<boost::json::object> RunLoad(const LoadPlan& plan,
                                          const FalseRefusalSource& source);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_RUN_H_
