#ifndef COPPERVALVE_APPS_COPPERVALVE_EXIT_CODE_H_
#define COPPERVALVE_APPS_COPPERVALVE_EXIT_CODE_H_

#include "coppervalve/core/error.h"

namespace coppervalve::cli {

/// @brief Exit codes of the program; scripts depend on the numbers.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       ///< refused, or a check failed
  kUsage = 2,        ///< invalid command line or setting
  kUnreachable = 3,  ///< the log or a router did not answer
  kConflict = 4,     ///< another operator published first
};

/// @return the exit code of a command that failed with this error
constexpr ExitCode ExitCodeOf(core::ErrorId id) {
  switch (id) {
    case core::ErrorId::kOperatorUnreachable:
    case core::ErrorId::kLogUnavailable:
      return ExitCode::kUnreachable;
    case core::ErrorId::kOperatorUsage:
    case core::ErrorId::kSettingMissing:
    case core::ErrorId::kSettingBadValue:
      return ExitCode::kUsage;
    case core::ErrorId::kConfigConflict:
      return ExitCode::kConflict;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_EXIT_CODE_H_
