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

/// @brief What a line is about; the last to be left out is the last here.
enum class LogCategory : uint8_t {
  kRoutine,    ///< a request that was served
  kFailure,    ///< a request that was refused or failed
  kLifecycle,  ///< start, stop, reload, a dependency lost or regained
};

/// @brief One event as a JSON object on one line.
class LogLine {
 public:
  explicit LogLine(std::string_view event);
  LogLine& Text(std::string_view name, std::string_view value);
  LogLine& Number(std::string_view name, int64_t value);
  /// @brief Whole milliseconds.
  LogLine& Millis(std::string_view name, core::Duration value);
  /// @brief A number with three decimals.
  LogLine& Decimal(std::string_view name, double value);
  LogLine& Flag(std::string_view name, bool value);
  /// @return the object with its closing brace
  std::string Finish();

 private:
  void AppendName(std::string_view name);

  std::string m_text;
};

/// @brief Lines on a descriptor that are written when it takes them and left
/// out, counted, when it does not: serving never waits for a reader of logs.
class EventLog {
 public:
  /// @brief Bounds, by kind of line.
  struct Bounds {
    std::array<uint64_t, 3> lines_per_second{80, 200, 100};
    std::array<size_t, 3> buffered_bytes{65'536, 196'608, 262'144};
  };

  EventLog(boost::asio::io_context& io, int descriptor, Bounds bounds);

  void Write(LogCategory kind, LogLine line);
  /// @brief Writes what the descriptor takes now.
  void Flush();
  /// @return lines left out so far, of all kinds
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
