#ifndef COPPERVALVE_APPS_COPPERVALVED_SETTINGS_H_
#define COPPERVALVE_APPS_COPPERVALVED_SETTINGS_H_

#include <chrono>  // milliseconds
#include <string>  // string

#include "coppervalve/core/result.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"

namespace coppervalve::daemon {

/// @brief All settings of the daemon, read at startup.
struct Settings {
  std::string failure_domain;
  std::string region;
  std::string caller_advertise;
  std::string peer_advertise;
  std::string operator_advertise;
  std::string operator_token_file;
  std::string peer_secret_file;
  std::chrono::milliseconds drain_timeout{30'000};
  router::LogLine::Level log_level = router::LogLine::Level::kInfo;
  net::ShellSettings shell;
};

/// @brief Parsed command line.
struct CommandLine {
  enum class Mode { kRun, kCheckSettings, kPrint };
  Mode mode = Mode::kRun;
  Settings settings;
  std::string text;  ///< printed before exiting: help, version or settings
};

/// @brief Reads flags and COPPERVALVED_* environment variables; flags take
/// precedence.
/// @return kSettingMissing, kSettingBadValue or kSettingUnknown; the subject
/// is the flag, the detail gives the value and the allowed values
core::Result<CommandLine> ReadCommandLine(int argc, const char* const* argv);

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_SETTINGS_H_
