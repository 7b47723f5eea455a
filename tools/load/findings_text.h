#ifndef COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_
#define COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_

#include <boost/json/object.hpp>
#include <string>  // string

#include "tools/load/audit.h"

namespace coppervalve::load {

/// @brief Formats the findings as text; the last line is a summary.
std::string ToText(const Findings& findings);

/// @brief Formats the findings as JSON.
boost::json::object ToJson(const Findings& findings);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_
