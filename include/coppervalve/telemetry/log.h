#ifndef COPPERVALVE_TELEMETRY_LOG_H_
#define COPPERVALVE_TELEMETRY_LOG_H_

#include <chrono>  // system_clock
#include <string>  // string

#include "coppervalve/router/events.h"

namespace coppervalve::telemetry {

/// @brief Formats one event as a line of JSON without a trailing newline.
std::string FormatLine(std::chrono::system_clock::time_point time,
                       const router::LogLine& line);

/// @brief Configures logging to standard output only. Call once, before the
/// first line is written.
/// @param min_level lines below this level are dropped
void OpenLog(router::LogLine::Level min_level);

/// @brief Writes one event with a wall-clock timestamp. Thread-safe.
void WriteLine(const router::LogLine& line);

}  // namespace coppervalve::telemetry

#endif  // COPPERVALVE_TELEMETRY_LOG_H_
