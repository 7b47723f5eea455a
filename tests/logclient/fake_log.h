#ifndef COPPERVALVE_TESTS_LOGCLIENT_FAKE_LOG_H_
#define COPPERVALVE_TESTS_LOGCLIENT_FAKE_LOG_H_

#include <cstdint>  // uint64_t
#include <string>   // string
#include <utility>  // move
#include <vector>   // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::logclient {

inline core::TimePoint At(core::Duration since_start) {
  return core::TimePoint(since_start);
}

inline double NoJitter() {
  return 0.0;
}

inline v1::Record Confirmation(uint64_t version) {
  v1::Record record;
  record.mutable_config_confirmed()->set_version(version);
  return record;
}

// Fake of the platform's log, as seen by one writer or reader.
class FakeLog {
 public:
  core::LogOffset Append(std::string entry) {
    m_entries.push_back(std::move(entry));
    return core::LogOffset(end() - 1);
  }

  void DropBefore(uint64_t offset) { m_first_retained = offset; }
  uint64_t end() const { return m_entries.size(); }

  v1::ReadReply Read(core::LogOffset from, uint64_t max_entries = 100) const {
    v1::ReadReply reply;
    reply.set_first_retained(m_first_retained);
    reply.set_end(end());
    uint64_t offset = from.value();
    for (; offset >= m_first_retained && offset < end(); ++offset) {
      if (static_cast<uint64_t>(reply.entries_size()) == max_entries) {
        break;
      }
      v1::LoggedEntry* logged = reply.add_entries();
      logged->set_offset(offset);
      logged->set_entry(m_entries[offset]);
    }
    return reply;
  }

  // The records that the fold applies: in order of sequence, each once.
  std::vector<uint64_t> FoldedVersions() const {
    std::vector<uint64_t> versions;
    uint64_t last_sequence = 0;
    for (const std::string& bytes : m_entries) {
      v1::Entry entry;
      entry.ParseFromString(bytes);
      if (entry.sequence() != last_sequence + 1) {
        continue;
      }
      ++last_sequence;
      for (const v1::Record& record : entry.records()) {
        versions.push_back(record.config_confirmed().version());
      }
    }
    return versions;
  }

 private:
  std::vector<std::string> m_entries;
  uint64_t m_first_retained = 0;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_TESTS_LOGCLIENT_FAKE_LOG_H_
