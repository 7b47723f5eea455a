#ifndef COPPERVALVE_TELEMETRY_LOG_H_
#define COPPERVALVE_TELEMETRY_LOG_H_

#include <chrono>  // system_clock
#include <string>  // string

#include "coppervalve/router/events.h"

namespace coppervalve::telemetry {

/// @brief One event as a line of JSON, without the line's end.
std::string FormatLine(std::chrono::system_clock::time_point time,
                       const router::LogLine& line);

/// @brief Sends log lines to standard output and nowhere else. Call it once,
/// before the first line.
/// @param min_level lines below it are dropped
void OpenLog(router::LogLine::Level min_level);

/// @brief Writes one event, stamped with the wall clock. From any thread.
void WriteLine(const router::LogLine& line);

}  // namespace coppervalve::telemetry

#endif  // COPPERVALVE_TELEMETRY_LOG_H_
