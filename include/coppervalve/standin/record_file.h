#ifndef COPPERVALVE_STANDIN_RECORD_FILE_H_
#define COPPERVALVE_STANDIN_RECORD_FILE_H_

#include <boost/json/value.hpp>
#include <fstream>  // ofstream
#include <string>   // string

namespace coppervalve::standin {

/// @brief Optional JSON Lines file with records for the audit.
class RecordFile {
 public:
  /// @param path when empty, no records are written
  explicit RecordFile(const std::string& path);

  /// @brief Appends one line and flushes it, so that it survives a crash of the
  /// process.
  void Write(const boost::json::value& record);

 private:
  std::ofstream m_file;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_RECORD_FILE_H_
