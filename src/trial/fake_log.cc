#include "coppervalve/trial/fake_log.h"

#include <algorithm>  // max, min
#include <utility>    // move

namespace coppervalve::trial {

namespace {

constexpr uint64_t kMaxEntriesPerRead = 500;
constexpr uint64_t kFirstOperatorIncarnation = 0xC0FFEE00;

}  // namespace

core::LogOffset FakeLog::Append(std::string entry) {
  ++m_appends;
  m_bytes += entry.size();
  m_entries.push_back(std::move(entry));
  if (m_retain != 0 && m_entries.size() > m_retain) {
    m_entries.pop_front();
    ++m_first;
  }
  return core::LogOffset(m_first + m_entries.size() - 1);
}

core::LogOffset FakeLog::AppendAsOperator(const std::string& name,
                                          v1::Record record) {
  v1::Entry entry;
  entry.set_writer("operator:" + name);
  entry.set_incarnation(kFirstOperatorIncarnation + ++m_operator_entries);
  entry.set_sequence(1);
  entry.set_seen_offset(end().value());
  *entry.add_records() = std::move(record);
  return Append(entry.SerializeAsString());
}

core::LogOffset FakeLog::end() const {
  return core::LogOffset(m_first + m_entries.size());
}

v1::ReadReply FakeLog::Read(core::LogOffset from) const {
  v1::ReadReply reply;
  reply.set_first_retained(m_first);
  reply.set_end(end().value());
  const uint64_t first = std::max(from.value(), m_first);
  const uint64_t last = std::min(end().value(), first + kMaxEntriesPerRead);
  for (uint64_t offset = first; offset < last; ++offset) {
    v1::LoggedEntry& logged = *reply.add_entries();
    logged.set_offset(offset);
    logged.set_entry(m_entries[offset - m_first]);
  }
  return reply;
}

}  // namespace coppervalve::trial
