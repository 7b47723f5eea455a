#ifndef COPPERVALVE_APPS_COPPERVALVE_PRINTER_H_
#define COPPERVALVE_APPS_COPPERVALVE_PRINTER_H_

#include <boost/json/object.hpp>
#include <string>  // string
#include <vector>  // vector

#include "apps/coppervalve/exit_code.h"
#include "coppervalve/config/diff.h"
#include "coppervalve/core/error.h"

namespace coppervalve::cli {

/// @brief Rows of text in aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);
  void Add(std::vector<std::string> row);
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

/// @brief Writes results to standard output, as text or as one JSON document.
class Printer {
 public:
  explicit Printer(bool json) : m_json(json) {}

  /// @brief Prints a result in the selected output format.
  void Print(const boost::json::object& document,
             const std::string& text) const;
  /// @brief Prints an error: text to standard error, JSON to standard output.
  /// @return the corresponding exit code
  ExitCode Fail(const core::Error& error) const;
  /// @brief Prints an error together with a result that explains it.
  ExitCode Fail(const core::Error& error,
                boost::json::object document,
                const std::string& text) const;

 private:
  bool m_json;
};

boost::json::object ToJson(const core::Error& error);
boost::json::array ToJson(const std::vector<config::Change>& changes);
std::string ToText(const std::vector<config::Change>& changes);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_PRINTER_H_
