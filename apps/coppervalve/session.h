#ifndef COPPERVALVE_APPS_COPPERVALVE_SESSION_H_
#define COPPERVALVE_APPS_COPPERVALVE_SESSION_H_

#include <string>  // string
#include <vector>  // vector

#include "apps/coppervalve/log_view.h"
#include "apps/coppervalve/options.h"
#include "apps/coppervalve/printer.h"
#include "coppervalve/core/result.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::cli {

/// @brief Shared context of all commands: options, output and the log.
class Session {
 public:
  explicit Session(Options options);

  const Options& options() const { return m_options; }
  const Printer& printer() const { return m_printer; }

  /// @brief Reads the log to its end.
  /// @error kSettingMissing without --log, and those of LogView::Open
  core::Result<LogView> ReadLog(LogView::Start start,
                                const LogView::Observer& observer = {}) const;

  /// @brief Creates an entry of this operator with one record. Duplicates of
  /// the entry are folded only once.
  /// @error kSettingMissing without --operator
  core::Result<v1::Entry> NewEntry(const LogView& view,
                                   v1::Record record) const;

  /// @brief Appends an entry and reads until it is folded. If a lost reply
  /// caused a retry, the observer sees the second copy as well, after the
  /// first.
  /// @error kLogUnavailable: the outcome is unknown unless the observer saw it
  core::Status AppendAndRead(LogView& view,
                             const v1::Entry& entry,
                             const LogView::Observer& observer) const;

  /// @brief Returns the given operator endpoints, or else those of the live
  /// routers.
  /// @error kUnknownRouter when there is none, and those of ReadLog
  core::Result<std::vector<std::string>> OperatorEndpoints() const;

 private:
  Options m_options;
  Printer m_printer;
};

/// @brief Returns a random id of 16 hex digits for changes and top-ups.
std::string NewId();

/// @brief Formats a number as 16 hex digits, the form used for incarnations.
std::string ToHex(uint64_t number);

/// @brief Reads a whole file; "-" is standard input.
/// @error kOperatorUsage
core::Result<std::string> ReadFile(const std::string& path);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_SESSION_H_
