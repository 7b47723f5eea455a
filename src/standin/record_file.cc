#include "coppervalve/standin/record_file.h"

#include <boost/json/serialize.hpp>

namespace coppervalve::standin {

RecordFile::RecordFile(const std::string& path) {
  if (!path.empty()) {
    m_file.open(path, std::ios::app);
  }
}

void RecordFile::Write(const boost::json::value& record) {
  if (m_file.is_open()) {
    m_file << boost::json::serialize(record) << '\n' << std::flush;
  }
}

}  // namespace coppervalve::standin
