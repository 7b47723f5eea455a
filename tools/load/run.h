#ifndef COPPERVALVE_TOOLS_LOAD_RUN_H_
#define COPPERVALVE_TOOLS_LOAD_RUN_H_

#include <boost/json/object.hpp>

#include "coppervalve/core/result.h"
#include "tools/load/false_refusals.h"
#include "tools/load/plan.h"

namespace coppervalve::load {

/// @brief Sends what the plan says and waits for the end of all of it, at most
/// for the plan's time and twice the longest patience.
/// @return the report
/// @error that of the log, when refusals are judged
core::Result<boost::json::object> RunLoad(const LoadPlan& plan,
                                          const ClairvoyantSource& source);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_RUN_H_
