#include "coppervalve/telemetry/log.h"

// clang-format off
#include "easylogging_setup.h"
#include <easylogging++.h>
// clang-format on

#include <poll.h>    // poll
#include <unistd.h>  // STDOUT_FILENO, write

#include <algorithm>    // min
#include <array>        // array
#include <atomic>       // atomic
#include <cstdio>       // snprintf
#include <ctime>        // gmtime_r
#include <mutex>        // mutex
#include <string_view>  // string_view

#include "coppervalve/telemetry/json_text.h"

// Each program must define the logging library's global state exactly once;
// this library defines it for all programs.
INITIALIZE_EASYLOGGINGPP

namespace coppervalve::telemetry {

namespace {

using Level = router::LogLine::Level;

std::atomic<Level> g_min_level{Level::kInfo};

// Threads that write lines would otherwise wait for whoever reads them.
class StandardOutput {
 public:
  void Write(std::string_view text) {
    const std::lock_guard lock(m_mutex);
    Flush();
    if (m_buffer.size() + text.size() > kMaxBuffered) {
      ++m_left_out;
      return;
    }
    if (m_left_out != 0) {
      m_buffer += FormatLine(std::chrono::system_clock::now(),
                             {router::LogLine::Level::kWarning,
                              "log_lines_left_out",
                              {{"count", std::to_string(m_left_out)}}});
      m_buffer += '\n';
      m_left_out = 0;
    }
    m_buffer += text;
    Flush();
  }

 private:
  static constexpr size_t kMaxBuffered = 262'144;
  // A pipe that polls as writable accepts this many bytes without blocking.
  static constexpr size_t kMaxWriteBytes = 4'096;

  static bool IsWritable() {
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  }

  void Flush() {
    size_t written = 0;
    while (written < m_buffer.size() && IsWritable()) {
      const ssize_t count =
          write(STDOUT_FILENO, m_buffer.data() + written,
                std::min(kMaxWriteBytes, m_buffer.size() - written));
      if (count <= 0) {
        break;
      }
      written += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written);
  }

  std::mutex m_mutex;
  std::string m_buffer;
  uint64_t m_left_out = 0;
};

/// Receives the lines from the logging library.
class OutputCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    m_output.Write(data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), /*appendNewLine=*/true));
  }

 private:
  StandardOutput m_output;
};

std::string_view LevelName(Level level) {
  switch (level) {
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
    case Level::kInfo:
      break;
  }
  return "info";
}

std::string Rfc3339(std::chrono::system_clock::time_point time) {
  using std::chrono::milliseconds;
  const auto since_epoch =
      std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
  const std::time_t seconds = since_epoch.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(),
                static_cast<int>(since_epoch.count() % 1000));
  return text.data();
}

}  // namespace

std::string FormatLine(std::chrono::system_clock::time_point time,
                       const router::LogLine& line) {
  std::string out = "{\"time\":";
  AppendJsonString(out, Rfc3339(time));
  out += ",\"level\":";
  AppendJsonString(out, LevelName(line.level));
  out += ",\"event\":";
  AppendJsonString(out, line.event);
  out += ",\"fields\":{";
  bool first = true;
  for (const auto& [name, value] : line.fields) {
    if (!first) {
      out += ',';
    }
    first = false;
    AppendJsonString(out, name);
    out += ':';
    AppendJsonString(out, value);
  }
  out += "}}";
  return out;
}

void OpenLog(Level min_level) {
  g_min_level = min_level;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<OutputCallback>("OutputCallback");
}

void WriteLine(const router::LogLine& line) {
  if (line.level < g_min_level.load()) {
    return;
  }
  LOG(INFO) << FormatLine(std::chrono::system_clock::now(), line);
}

}  // namespace coppervalve::telemetry
