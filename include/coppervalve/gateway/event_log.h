#ifndef COPPERVALVE_GATEWAY_EVENT_LOG_H_
#define COPPERVALVE_GATEWAY_EVENT_LOG_H_

#include <array>  // array
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>      // size_t
#include <cstdint>      // int64_t, uint8_t, uint64_t
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

/// @brief Category of a log line, in ascending priority: under pressure, lines
/// of the first category are dropped first.
enum class LogCategory : uint8_t {
  kRoutine,    ///< served request
  kFailure,    ///< refused or failed request
  kLifecycle,  ///< start, stop, reload, a dependency lost or regained
};

/// @brief Builds a log line: one event as a JSON object.
class LogLine {
 public:
  explicit LogLine(std::string_view event);
  LogLine& Text(std::string_view name, std::string_view value);
  LogLine& Number(std::string_view name, int64_t value);
  /// @brief Adds a duration in whole milliseconds.
  LogLine& Millis(std::string_view name, core::Duration value);
  /// @brief Adds a number with three decimals.
  LogLine& Decimal(std::string_view name, double value);
  LogLine& Flag(std::string_view name, bool value);
  /// @return the finished object, terminated by a newline
  std::string Finish();

 private:
  void AppendName(std::string_view name);

  std::string m_text;
};

/// @brief Buffered, non-blocking log on a file descriptor.
///
/// Lines that exceed the rate or buffer limits are dropped and counted, so that
/// a stalled log reader never blocks the serving of requests.
class EventLog {
 public:
  /// @brief Limits, indexed by LogCategory.
  struct Bounds {
    std::array<uint64_t, 3> lines_per_second{80, 200, 100};
    std::array<size_t, 3> buffered_bytes{65'536, 196'608, 262'144};
  };

  EventLog(boost::asio::io_context& io, int descriptor, Bounds bounds);

  void Write(LogCategory kind, LogLine line);
  /// @brief Writes as much as the descriptor accepts without blocking.
  void Flush();
  /// @return number of dropped lines of all categories
  uint64_t dropped() const { return m_dropped; }
  size_t buffered_bytes() const { return m_buffer.size(); }

 private:
  bool Admit(LogCategory kind, size_t size);
  void ScheduleFlush();
  void AppendDroppedNotice();

  boost::asio::steady_timer m_timer;
  int m_descriptor;
  Bounds m_bounds;
  std::string m_buffer;
  std::array<uint64_t, 3> m_lines_this_second{};
  int64_t m_second = 0;
  uint64_t m_dropped = 0;
  uint64_t m_dropped_reported = 0;
  bool m_flush_scheduled = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_EVENT_LOG_H_
