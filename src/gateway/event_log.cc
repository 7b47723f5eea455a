#include "coppervalve/gateway/event_log.h"

#include <poll.h>    // poll
#include <unistd.h>  // write

#include <algorithm>  // min
#include <chrono>     // system_clock
#include <cstdio>     // snprintf
#include <utility>    // move

#include "coppervalve/net/clock.h"
#include "coppervalve/telemetry/json_text.h"

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kFlushInterval{250};
// A pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t kMaxWriteBytes = 4'096;

int64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool IsWritable(int descriptor) {
  pollfd ready{descriptor, POLLOUT, 0};
  return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

}  // namespace

LogLine::LogLine(std::string_view event) : m_text("{") {
  Number("time_ms", WallMillis());
  Text("event", event);
}

void LogLine::AppendName(std::string_view name) {
  if (m_text.size() > 1) {
    m_text += ',';
  }
  telemetry::AppendJsonString(m_text, name);
  m_text += ':';
}

LogLine& LogLine::Text(std::string_view name, std::string_view value) {
  AppendName(name);
  telemetry::AppendJsonString(m_text, value);
  return *this;
}

LogLine& LogLine::Number(std::string_view name, int64_t value) {
  AppendName(name);
  m_text += std::to_string(value);
  return *this;
}

LogLine& LogLine::Millis(std::string_view name, core::Duration value) {
  return Number(
      name,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

LogLine& LogLine::Decimal(std::string_view name, double value) {
  AppendName(name);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  m_text += text.data();
  return *this;
}

LogLine& LogLine::Flag(std::string_view name, bool value) {
  return Number(name, value ? 1 : 0);
}

std::string LogLine::Finish() {
  m_text += "}\n";
  return std::move(m_text);
}

EventLog::EventLog(boost::asio::io_context& io, int descriptor, Bounds bounds)
    : m_timer(io), m_descriptor(descriptor), m_bounds(bounds) {}

bool EventLog::Admit(LogCategory category, size_t size) {
  const auto index = static_cast<size_t>(category);
  const auto now = net::BootNow().time_since_epoch();
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now).count();
  if (second != m_second) {
    m_second = second;
    m_lines_this_second = {};
  }
  if (m_buffer.size() + size > m_bounds.buffered_bytes[index] ||
      m_lines_this_second[index] >= m_bounds.lines_per_second[index]) {
    ++m_dropped;
    return false;
  }
  ++m_lines_this_second[index];
  return true;
}

void EventLog::Write(LogCategory category, LogLine line) {
  const std::string text = line.Finish();
  if (!Admit(category, text.size())) {
    return;
  }
  m_buffer += text;
  ScheduleFlush();
}

void EventLog::ScheduleFlush() {
  if (m_flush_scheduled) {
    return;
  }
  m_flush_scheduled = true;
  m_timer.expires_after(kFlushInterval);
  m_timer.async_wait([this](const boost::system::error_code& code) {
    if (code) {
      return;
    }
    m_flush_scheduled = false;
    Flush();
    if (!m_buffer.empty()) {
      ScheduleFlush();
    }
  });
}

void EventLog::AppendDroppedNotice() {
  if (m_dropped == m_dropped_reported) {
    return;
  }
  m_buffer +=
      LogLine("log_lines_left_out")
          .Number("count", static_cast<int64_t>(m_dropped - m_dropped_reported))
          .Finish();
  m_dropped_reported = m_dropped;
}

void EventLog::Flush() {
  size_t written = 0;
  while (written < m_buffer.size() && IsWritable(m_descriptor)) {
    const ssize_t count =
        write(m_descriptor, m_buffer.data() + written,
              std::min(kMaxWriteBytes, m_buffer.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_buffer.erase(0, written);
  if (m_buffer.empty()) {
    AppendDroppedNotice();
  }
}

}  // namespace coppervalve::gateway
