#ifndef COPPERVALVE_TELEMETRY_JSON_TEXT_H_
#define COPPERVALVE_TELEMETRY_JSON_TEXT_H_

#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::telemetry {

/// @brief Appends a quoted JSON string. Bytes that are not valid UTF-8 are
/// copied unchanged.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace coppervalve::telemetry

#endif  // COPPERVALVE_TELEMETRY_JSON_TEXT_H_
