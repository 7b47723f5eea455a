#ifndef COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_
#define COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_

#include <boost/json/object.hpp>
#include <string>  // string

#include "tools/load/audit.h"

namespace coppervalve::load {

/// @brief The findings for people; the last line sums up.
std::string ToText(const Findings& findings);

/// @brief The findings for programs.
boost::json::object ToJson(const Findings& findings);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_FINDINGS_TEXT_H_
