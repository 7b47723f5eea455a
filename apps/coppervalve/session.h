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

/// @brief What every command needs: the settings, the output and the log.
class Session {
 public:
  explicit Session(Options options);

  const Options& options() const { return m_options; }
  const Printer& printer() const { return m_printer; }

  /// @brief Reads the log to its end.
  /// @error kSettingMissing without --log, and those of LogView::Open
  core::Result<LogView> ReadLog(LogView::Start start,
                                const LogView::Observer& observer = {}) const;

  /// @brief An entry of this operator with one record; folds once.
  /// @error kSettingMissing without --operator
  core::Result<v1::Entry> NewEntry(const LogView& view,
                                   v1::Record record) const;

  /// @brief Appends and reads on until the entry is folded; a copy that a lost
  /// reply made necessary is seen by the observer as well, after the first.
  /// @error kLogUnavailable: the outcome is unknown unless the observer saw it
  core::Status AppendAndRead(LogView& view,
                             const v1::Entry& entry,
                             const LogView::Observer& observer) const;

  /// @brief Operator endpoints: those given, else those of the live routers.
  /// @error kUnknownRouter when there is none, and those of ReadLog
  core::Result<std::vector<std::string>> OperatorEndpoints() const;

 private:
  Options m_options;
  Printer m_printer;
};

/// @brief A random id of 16 hex digits, for changes and top-ups.
std::string NewId();

/// @brief A number as 16 hex digits, as incarnations are shown.
std::string ToHex(uint64_t number);

/// @brief Reads a whole file; "-" is standard input.
/// @error kOperatorUsage
core::Result<std::string> ReadFile(const std::string& path);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_SESSION_H_
