#include "coppervalve/telemetry/log.h"

// clang-format off
#include "easylogging_setup.h"
#include <easylogging++.h>
// clang-format on

#include <array>   // array
#include <atomic>  // atomic
#include <cstdio>  // snprintf
#include <ctime>   // gmtime_r

#include "coppervalve/telemetry/json_text.h"

// Each program must define the logging library's global state exactly once;
// this library defines it for all programs.
INITIALIZE_EASYLOGGINGPP

namespace coppervalve::telemetry {

namespace {

using Level = router::LogLine::Level;

std::atomic<Level> g_min_level{Level::kInfo};

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
}

void WriteLine(const router::LogLine& line) {
  if (line.level < g_min_level.load()) {
    return;
  }
  LOG(INFO) << FormatLine(std::chrono::system_clock::now(), line);
}

}  // namespace coppervalve::telemetry
